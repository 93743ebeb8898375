import { Admission } from "../../src/request/admission/admission.ts";
import type { AdmissionTicket } from "../../src/request/admission/admissionTicket.ts";
import { CustomerLimits } from "../../src/request/admission/customerLimits.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createBenchConfiguration } from "./createBenchConfiguration.ts";
import { createRandom } from "./createRandom.ts";
import { getQuantile } from "./getQuantile.ts";

const customerCount = 2_000;
const rounds = 15;
const requestsPerRound = 4_000;

interface CostCase {
    name: string;
    concurrencyLimit: number;
    /** Number of waiting requests, assigned to the customers in turn. */
    waiting: number;
    maximumQueueMilliseconds: number;
}

/** Measures the wall-clock time of an admission with its release, and of a refusal. */
export async function measureCost(): Promise<void> {
    console.log("\nCost per request in microseconds (median, minimum and maximum of 15 rounds of 4,000; wall clock)");
    const base = { concurrencyLimit: 64, maximumQueueMilliseconds: 1e9 };
    await measureCase({ name: "admitted and released, nothing waits", ...base, waiting: 0 });
    await measureCase({ name: "queued, admitted, released; 2,000 customers wait", ...base, waiting: 2_000 });
    await measureCase({
        name: "refused because of the wait, 2,000 customers wait",
        ...base,
        waiting: 2_000,
        maximumQueueMilliseconds: 1,
    });
}

async function measureCase(options: CostCase): Promise<void> {
    const clock = VirtualClock.create();
    const names = Array.from({ length: customerCount }, (_, index) => `customer${index}`);
    const limits = { maximumQueueMilliseconds: 1e9, maximumQueuedRequests: 100_000 };
    const configuration = createBenchConfiguration(Object.fromEntries(names.map(name => [name, {}])), limits);
    const shared = { getConfiguration: () => configuration, clock, random: createRandom(1) };
    const admission = Admission.create({
        ...shared,
        getConcurrencyLimit: () => options.concurrencyLimit,
        customerLimits: CustomerLimits.create(shared),
    });
    const tickets: AdmissionTicket[] = [];
    const request = (index: number): void => {
        const customer = names[index % customerCount] ?? "";
        void admission.requestAdmission({ customer, gate: "model", cost: 100 }).then(result => {
            if (result.ok) {
                tickets.push(result.val);
            }
        });
    };
    request(0);
    await clock.runUntil(1_000);
    tickets.pop()?.release({ tokens: 100 });
    for (let index = 0; options.waiting > 0 && index < options.concurrencyLimit + options.waiting; index++) {
        request(index);
    }
    await clock.runUntil(2_000);
    configuration.limits.maximumQueueMilliseconds = options.maximumQueueMilliseconds;
    const costs: number[] = [];
    for (let round = 0; round < rounds; round++) {
        const startedAt = performance.now();
        for (let index = 0; index < requestsPerRound; index++) {
            request(index);
            await undefined;
            if (options.maximumQueueMilliseconds > 1) {
                tickets.shift()?.release({ tokens: 100 });
            }
        }
        costs.push((performance.now() - startedAt) * 1000 / requestsPerRound);
    }
    const [median, minimum, maximum] = [0.5, 0, 1].map(quantile => getQuantile(costs, quantile).toFixed(1));
    console.log(`${options.name.padEnd(50)} ${median} (${minimum} to ${maximum})`);
}
