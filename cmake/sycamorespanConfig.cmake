include(CMakeFindDependencyMacro)
find_dependency(OpenSSL)
find_dependency(nlohmann_json)
include("${CMAKE_CURRENT_LIST_DIR}/sycamorespanTargets.cmake")
