# What is simulated for days in the tests is optimised in builds for debugging too: under sanitizers those days take most of
# the suite's time.
function(whinledge_optimise_for_debugging target)
  target_compile_options(${target} PRIVATE $<$<CONFIG:Debug>:-O1>)
endfunction()

# Of all libraries that whinledge_library() has made so far, those that decide: what links no sockets.
function(whinledge_optimise_pure_libraries)
  get_property(libraries GLOBAL PROPERTY whinledge_libraries)
  foreach(library IN LISTS libraries)
    whinledge_links(has_sockets ${library} whinledge_loop)
    if(NOT has_sockets)
      whinledge_optimise_for_debugging(${library})
    endif()
  endforeach()
endfunction()
