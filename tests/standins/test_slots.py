import asyncio

from finchshed.standins.slots import Slots


async def test_waiting_requests_run_in_order_of_arrival() -> None:
    slots = Slots(1, 8)
    order: list[int] = []

    async def work(number: int) -> None:
        await slots.acquire()
        order.append(number)
        await asyncio.sleep(0)
        slots.release()

    await asyncio.gather(*(work(number) for number in range(5)))
    assert order == [0, 1, 2, 3, 4]
    assert slots.in_flight == 0


async def test_cancelled_wait_leaves_the_queue() -> None:
    slots = Slots(1, 1)
    await slots.acquire()
    waiting = asyncio.create_task(slots.acquire())
    await asyncio.sleep(0)
    assert slots.is_full
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert slots.in_flight == 1
    slots.release()
    assert slots.in_flight == 0


async def test_slot_granted_to_a_cancelled_wait_passes_to_the_next() -> None:
    slots = Slots(1, 2)
    await slots.acquire()
    first = asyncio.create_task(slots.acquire())
    second = asyncio.create_task(slots.acquire())
    await asyncio.sleep(0)
    slots.release()
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    await asyncio.wait_for(second, 1.0)
    slots.release()
    assert slots.in_flight == 0
