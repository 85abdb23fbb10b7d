"""A client names an adapter with a byte that is no UTF-8."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))

import fleet


class Case(fleet.Fleet):
    async def run(self):
        await asyncio.sleep(6)  # The holders of the leases begin to order.
        headers = dict(self.stream_headers("a1"), **{"Apricotstep-Model": f"{fleet.MODEL}/a\xb3" if self.has_trouble else f"{fleet.MODEL}/a3"})
        await self.request("POST", "/chat/2f", headers, b"x" * 100)
        await asyncio.sleep(2)
        for node in self.nodes:
            if not node.is_running():
                self.record.break_rule("(none by itself: a crash)", f"the process of {node.name} has ended with status {node.process.poll()}")


fleet.play(Case, FOLDER)
