# Warnings are errors for the project's own code; generated code is exempt.
function(celerykeel_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
endfunction()
