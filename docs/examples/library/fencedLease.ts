/** One process at a time gives orders, each with a fencing number. */
import { FencedLease, systemClock } from "../../../src/index.ts";
import { createInMemoryStore } from "./inMemoryStore.ts";

const lease = FencedLease.create({
    store: createInMemoryStore(),
    clock: systemClock,
    random: Math.random,
    log: { write: () => undefined },
    key: "leases/orders",
    holder: "process-1",
    timeToLiveMilliseconds: 3_000,
    longestOrderMilliseconds: 500,
});

console.log(`Before: ${lease.withFencing(number => `order ${number}`).ok ? "sent" : "not sent"}.`);
lease.start();
while (!lease.isHeld()) {
    await new Promise(resolve => setTimeout(resolve, 10));
}
console.log(`Held: ${lease.withFencing(() => "order").ok ? "sent" : "not sent"}.`);
await lease.stop();
console.log(`After: ${lease.withFencing(number => `order ${number}`).ok ? "sent" : "not sent"}.`);
