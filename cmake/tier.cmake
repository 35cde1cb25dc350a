# The serving tier: control, storage and data plane, and their programs. Each folder lists its own sources.
find_program(THRIFT_COMPILER thrift)
find_path(THRIFT_INCLUDE thrift/Thrift.h)
find_library(THRIFT_LIBRARY NAMES libthrift.a thrift)
find_path(GLOG_INCLUDE glog/logging.h)
find_library(GLOG_LIBRARY NAMES glog)
find_path(DOCOPT_INCLUDE docopt/docopt.h)
find_library(DOCOPT_LIBRARY NAMES libdocopt.a docopt)
if(THRIFT_COMPILER AND THRIFT_INCLUDE AND THRIFT_LIBRARY AND GLOG_INCLUDE AND GLOG_LIBRARY AND DOCOPT_INCLUDE AND DOCOPT_LIBRARY)
  set(tier_found ON)
else()
  set(tier_found OFF)
endif()
option(WHINLEDGE_TIER "Build the serving tier (needs Thrift, glog and docopt)" ${tier_found})
if(NOT WHINLEDGE_TIER)
  message(STATUS "Thrift, glog or docopt not found: without the serving tier")
  return()
endif()

# Messages, generated from idl/*.thrift at build time.
set(wire_folder ${CMAKE_CURRENT_BINARY_DIR}/wire)
file(MAKE_DIRECTORY ${wire_folder})
set(wire_sources "")
foreach(idl IN ITEMS control openings register rollout storage overlay)
  set(generated ${wire_folder}/${idl}_types.cpp ${wire_folder}/${idl}_types.h)
  add_custom_command(OUTPUT ${generated}
                     COMMAND ${THRIFT_COMPILER} --gen cpp:no_skeleton,templates,moveable_types -out ${wire_folder}
                             -I ${CMAKE_CURRENT_SOURCE_DIR}/idl ${CMAKE_CURRENT_SOURCE_DIR}/idl/${idl}.thrift
                     DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/idl/${idl}.thrift VERBATIM)
  list(APPEND wire_sources ${generated})
endforeach()
add_library(whinledge_wire STATIC ${wire_sources})
target_include_directories(whinledge_wire SYSTEM PUBLIC ${wire_folder} ${THRIFT_INCLUDE})
target_link_libraries(whinledge_wire PUBLIC ${THRIFT_LIBRARY})
whinledge_optimise_for_debugging(whinledge_wire)

# The log of the new programs: glog, to standard error.
add_library(whinledge_glog INTERFACE)
target_include_directories(whinledge_glog SYSTEM INTERFACE ${GLOG_INCLUDE})
target_link_libraries(whinledge_glog INTERFACE ${GLOG_LIBRARY})
add_library(whinledge_docopt INTERFACE)
target_include_directories(whinledge_docopt SYSTEM INTERFACE ${DOCOPT_INCLUDE})
target_link_libraries(whinledge_docopt INTERFACE ${DOCOPT_LIBRARY})

foreach(folder IN ITEMS failure_domain node rpc ctl serving consensus servers_list overlay feed storage_map rollout control_plane storage_plane openings placement data_plane programs)
  add_subdirectory(src/${folder})
endforeach()
# Stand-ins for all who call the tier, and the rig that plays a day of real processes.
add_subdirectory(tools/tier)
# The emulator and its experiments.
add_subdirectory(tools/lab)
