find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(prometheus-cpp REQUIRED)
option(RATTANBAY_TESTS "Build the tests" ON)
find_package(Boost 1.74 REQUIRED COMPONENTS log thread system)
if(RATTANBAY_TESTS)
  find_package(Boost 1.74 REQUIRED COMPONENTS unit_test_framework)
endif()

add_library(rattanbay_options INTERFACE)
target_compile_options(rattanbay_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)
# Boost.Asio 1.74 uses std::exchange in its coroutine header without including <utility>.
target_compile_options(rattanbay_options INTERFACE -include utility)
# g++ 12 reports the coroutine frame allocator of Boost.Asio 1.74 as mismatched although its
# new and delete match.
target_compile_options(rattanbay_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
# With optimization, g++ 12 mistakes inlined concatenations of short strings for overlapping copies.
target_compile_options(rattanbay_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
target_compile_definitions(rattanbay_options INTERFACE BOOST_LOG_DYN_LINK BOOST_BEAST_SEPARATE_COMPILATION
                           BOOST_ASIO_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(rattanbay_options INTERFACE Threads::Threads)

# Defines the library rattanbay_<name> from src/*.cpp and the test program <name>_tests from
# test/*.cpp of the calling directory. DEPENDS lists other packages, LIBRARIES external libraries, and
# TEST_DEPENDS packages that only the tests use.
function(rattanbay_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/internal/*.cpp)
  set(scope PUBLIC)
  if(sources)
    add_library(rattanbay_${name} STATIC ${sources})
    target_include_directories(rattanbay_${name} PUBLIC include PRIVATE src)
  else()
    set(scope INTERFACE)
    add_library(rattanbay_${name} INTERFACE)
    target_include_directories(rattanbay_${name} INTERFACE include)
  endif()
  target_link_libraries(rattanbay_${name} ${scope} rattanbay_options ${arg_LIBRARIES})
  foreach(dependency IN LISTS arg_DEPENDS)
    target_link_libraries(rattanbay_${name} ${scope} rattanbay_${dependency})
  endforeach()

  file(GLOB tests CONFIGURE_DEPENDS test/*.cpp)
  if(tests AND RATTANBAY_TESTS)
    add_executable(${name}_tests ${tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp)
    target_compile_definitions(${name}_tests PRIVATE BOOST_TEST_DYN_LINK
                               RATTANBAY_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/test/data"
                               RATTANBAY_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_include_directories(${name}_tests PRIVATE src test)
    target_link_libraries(${name}_tests PRIVATE rattanbay_${name} Boost::unit_test_framework rapidcheck)
    foreach(dependency IN LISTS arg_TEST_DEPENDS)
      target_link_libraries(${name}_tests PRIVATE rattanbay_${dependency})
    endforeach()
    add_test(NAME ${name} COMMAND ${name}_tests --log_level=test_suite --report_level=short)
  endif()
endfunction()
