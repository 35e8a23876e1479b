"""Settings of all tests: generated examples are the same in every run, and no clock judges them."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "finchshed",
    deadline=None,
    derandomize=True,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile("finchshed")
