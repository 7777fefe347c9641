"""The tests of the package, in modules that mirror its modules."""

import hypothesis

# A test takes its settings from the profile that is in force when it is defined.
hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")
