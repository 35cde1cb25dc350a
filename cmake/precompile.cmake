# Headers of Asio and the like, parsed once for all libraries with sockets. For builds that only run tests: one without it
# shows what a source forgets to include.
option(WHINLEDGE_PRECOMPILE "Precompile the headers of libraries with sockets" OFF)

# Whether `library` links `wanted`, itself or through others.
function(whinledge_links result library wanted)
  set(${result} FALSE PARENT_SCOPE)
  if(library STREQUAL wanted)
    set(${result} TRUE PARENT_SCOPE)
  elseif(TARGET ${library})
    get_target_property(links ${library} INTERFACE_LINK_LIBRARIES)
    foreach(link IN LISTS links)
      whinledge_links(found "${link}" ${wanted})
      if(found)
        set(${result} TRUE PARENT_SCOPE)
        return()
      endif()
    endforeach()
  endif()
endfunction()

# Of all libraries that whinledge_library() has made so far.
function(whinledge_precompile_libraries)
  add_library(whinledge_socket_headers OBJECT ${PROJECT_SOURCE_DIR}/cmake/socket_headers.cpp)
  target_link_libraries(whinledge_socket_headers PRIVATE whinledge_loop nlohmann_json::nlohmann_json)
  target_compile_options(whinledge_socket_headers PRIVATE $<$<CXX_COMPILER_ID:GNU>:-fpch-preprocess>)
  target_precompile_headers(whinledge_socket_headers PRIVATE ${PROJECT_SOURCE_DIR}/cmake/socket_headers.hpp)
  get_property(libraries GLOBAL PROPERTY whinledge_libraries)
  foreach(library IN LISTS libraries)
    get_target_property(own_options ${library} COMPILE_OPTIONS)
    whinledge_links(has_sockets ${library} whinledge_loop)
    # Options of its own would not fit the precompiled headers.
    if(has_sockets AND NOT own_options MATCHES "-O")
      target_compile_options(${library} PRIVATE $<$<CXX_COMPILER_ID:GNU>:-fpch-preprocess>)
      target_precompile_headers(${library} REUSE_FROM whinledge_socket_headers)
    endif()
  endforeach()
endfunction()
