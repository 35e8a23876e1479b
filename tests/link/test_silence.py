from finchshed.link.silence import LivenessAction, SilenceDetector

HEARTBEAT, IDLE, SILENCE = 0.25, 5.0, 1.0


def make_detector() -> SilenceDetector:
    detector = SilenceDetector(HEARTBEAT, IDLE, SILENCE)
    detector.on_received(100.0)
    return detector


def run(
    detector: SilenceDetector, start: float, until: float, is_busy: bool
) -> list[tuple[float, LivenessAction]]:
    """Run periodic checks until the link is broken; return the actions with their times."""
    actions = []
    now = start
    while now < until:
        now += detector.next_check(now, is_busy)
        action = detector.check(now, is_busy)
        if action is not LivenessAction.WAIT:
            actions.append((now, action))
        if action is LivenessAction.BROKEN:
            break
        if action is LivenessAction.SEND_HEARTBEAT:
            detector.on_sent(now)
    return actions


def test_a_silent_busy_link_is_broken_after_the_silence_limit() -> None:
    detector = make_detector()
    detector.on_sent(100.0)
    actions = run(detector, 100.0, 110.0, is_busy=True)
    assert actions[-1] == (101.0, LivenessAction.BROKEN)
    assert [action for _, action in actions[:-1]] == [LivenessAction.SEND_HEARTBEAT] * 3


def test_an_idle_link_gets_rare_heartbeats_but_fast_detection() -> None:
    actions = run(make_detector(), 100.0, 120.0, is_busy=False)
    assert actions[0] == (105.0, LivenessAction.SEND_HEARTBEAT)
    assert actions[-1] == (106.0, LivenessAction.BROKEN)


def test_a_link_that_answers_heartbeats_is_not_broken() -> None:
    detector = make_detector()
    now = 100.0
    for _ in range(200):
        now += detector.next_check(now, is_busy=True)
        action = detector.check(now, is_busy=True)
        assert action is not LivenessAction.BROKEN
        if action is LivenessAction.SEND_HEARTBEAT:
            detector.on_sent(now)
            detector.on_received(now + 0.01)


def test_a_stall_of_this_process_does_not_break_the_link() -> None:
    detector = make_detector()
    detector.on_sent(100.0)
    detector.next_check(100.0, is_busy=True)
    assert detector.check(160.0, is_busy=True) is not LivenessAction.BROKEN
    assert run(detector, 160.0, 170.0, is_busy=True)[-1] == (161.0, LivenessAction.BROKEN)
