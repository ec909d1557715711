# Warnings are errors for the project's own code; generated code is exempt.
# GCC 12 finds overlaps in std::string that are not there (its bug 105651), and
# with sanitizers or coroutines mistakes what is allocated where.
function(celerykeel_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror
    $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict -Wno-mismatched-new-delete>)
  if(CELERYKEEL_SANITIZE)
    target_compile_options(${target} PRIVATE $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
  endif()
endfunction()
