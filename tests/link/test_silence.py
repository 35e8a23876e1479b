from finchshed.link.silence import LivenessAction, SilenceDetector

HEARTBEAT, IDLE, SILENCE = 0.25, 5.0, 1.0


def watch() -> SilenceDetector:
    held = SilenceDetector(HEARTBEAT, IDLE, SILENCE)
    held.on_received(100.0)
    return held


def run(
    held: SilenceDetector, start: float, until: float, is_busy: bool
) -> list[tuple[float, LivenessAction]]:
    """Check as a link does; return what was to be done and when, until broken."""
    done = []
    now = start
    while now < until:
        now += held.next_check(now, is_busy)
        verdict = held.check(now, is_busy)
        if verdict is not LivenessAction.WAIT:
            done.append((now, verdict))
        if verdict is LivenessAction.BROKEN:
            break
        if verdict is LivenessAction.SEND_HEARTBEAT:
            held.on_sent(now)
    return done


def test_a_busy_link_that_carries_nothing_is_broken_after_the_silence() -> None:
    held = watch()
    held.on_sent(100.0)
    done = run(held, 100.0, 110.0, is_busy=True)
    assert done[-1] == (101.0, LivenessAction.BROKEN)
    assert [verdict for _, verdict in done[:-1]] == [LivenessAction.SEND_HEARTBEAT] * 3


def test_an_idle_link_is_asked_rarely_and_then_judged_quickly() -> None:
    done = run(watch(), 100.0, 120.0, is_busy=False)
    assert done[0] == (105.0, LivenessAction.SEND_HEARTBEAT)
    assert done[-1] == (106.0, LivenessAction.BROKEN)


def test_a_link_that_answers_stays() -> None:
    held = watch()
    now = 100.0
    for _ in range(200):
        now += held.next_check(now, is_busy=True)
        verdict = held.check(now, is_busy=True)
        assert verdict is not LivenessAction.BROKEN
        if verdict is LivenessAction.SEND_HEARTBEAT:
            held.on_sent(now)
            held.on_received(now + 0.01)


def test_a_process_that_stood_still_does_not_blame_its_peers() -> None:
    held = watch()
    held.on_sent(100.0)
    held.next_check(100.0, is_busy=True)
    assert held.check(160.0, is_busy=True) is not LivenessAction.BROKEN
    assert run(held, 160.0, 170.0, is_busy=True)[-1] == (161.0, LivenessAction.BROKEN)
