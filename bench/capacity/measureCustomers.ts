import { Admission } from "../../src/request/admission/admission.ts";
import type { AdmissionTicket } from "../../src/request/admission/admissionTicket.ts";
import { CustomerLimits } from "../../src/request/admission/customerLimits.ts";
import { getGateCapacity } from "../../src/request/getGateCapacity.ts";
import { modelGatePrefix } from "../../src/request/modelGatePrefix.ts";
import type { Configuration } from "../../src/version/configuration.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createBenchConfiguration } from "../admission/createBenchConfiguration.ts";
import { createFleet } from "../policy/fleet.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureHeap } from "./measureHeap.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";

const role = "customer limits and admission";
const { customers, models, runners } = designSize;
const customerCounts = [customers / 4, customers / 2, customers];
const gateCapacity = 64;
const requests = 10_000;
const decisions = 200_000;
const demandReports = 20;
/** Demand records per gossip request in a cluster of more than nine nodes. */
const demandRecords = 4;
const reportIntervalMilliseconds = 1_000;
/** A limit so low that one request counts towards the demand for minutes. */
const slowRequestsPerSecond = 0.1;
const repetitions = 3;
const capacityLookups = 500;

/** Measures the customer limits, the admission queue and the computation of a gate's capacity. */
export async function measureCustomers(): Promise<Slope[]> {
    return [...await measureLimits(), ...await measureQueue(), ...await measureCapacityLookup()];
}

async function measureLimits(): Promise<Slope[]> {
    const heap = [];
    const decision = [];
    const demand = [];
    await measureReport(createNames(customers));
    for (const count of customerCounts) {
        const names = createNames(count);
        const configuration = createConfiguration(names);
        heap.push({ x: count, y: measureHeap(() => createLimits(configuration, VirtualClock.create(), names), 20) });
        const clock = VirtualClock.create();
        const limits = createLimits(configuration, clock, names);
        const spent = await measureProcessorTime(() => {
            for (let index = 0; index < decisions; index++) {
                limits.takeRequest(names[index % count]!, 0);
            }
        }, repetitions);
        decision.push({ x: count, y: spent / decisions });
        demand.push({ x: count, y: await measureReport(names) });
    }
    const variable = "customer";
    return [
        fitSlope({ id: "customers.heap", role, quantity: "limits", unit: "B", variable }, heap),
        fitSlope({ id: "customers.take", role, quantity: "decision of the limit", unit: "us", variable }, decision),
        fitSlope({ id: "customers.demand", role, quantity: "demand of a message", unit: "us", variable }, demand),
    ];
}

/** Measures a report of the demand, in microseconds. Time advances between two reports, since a report may be cached. */
async function measureReport(names: readonly string[]): Promise<number> {
    const clock = VirtualClock.create();
    const limits = createLimits(createConfiguration(names, slowRequestsPerSecond), clock, names);
    const spent = await measureProcessorTime(async () => {
        for (let report = 0; report < demandReports; report++) {
            await clock.runUntil(clock.getMonotonicTime() + reportIntervalMilliseconds);
            limits.getDemand(demandRecords);
        }
    }, repetitions);
    return spent / demandReports;
}

/** Measures the admission and release of requests while each customer has a queued request. */
async function measureQueue(): Promise<Slope[]> {
    const processor = [];
    const lookups = [];
    const heap = [];
    for (const count of customerCounts) {
        const names = createNames(count);
        heap.push({ x: count, y: measureHeap(() => createFullAdmission(names), 10) });
        const { admission, tickets, counts, request } = createFullAdmission(names);
        // Lets the promise callbacks of the admitted requests run.
        await undefined;
        await undefined;
        const admitRequests = async (): Promise<void> => {
            for (let index = 0; index < requests; index++) {
                request(index);
                await undefined;
                tickets.shift()?.release({ tokens: 100 });
            }
        };
        await admitRequests();
        counts.lookups = 0;
        processor.push({ x: count, y: await measureProcessorTime(admitRequests, repetitions) / requests });
        lookups.push({ x: count, y: counts.lookups / requests / repetitions });
        admission.startDraining();
    }
    const variable = "customer that waits";
    const unit = "a request";
    return [
        fitSlope({ id: "customers.admit", role, quantity: "admission and release", unit: "us", variable }, processor),
        fitSlope({ id: "customers.lookups", role, quantity: "lookups of the places", unit, variable }, lookups),
        fitSlope({ id: "customers.queueHeap", role, quantity: "queue", unit: "B", variable }, heap),
    ];
}

/** Creates an admission whose gate is full and that queues one request of each customer. */
function createFullAdmission(names: readonly string[]) {
    const clock = VirtualClock.create();
    const configuration = createConfiguration(names);
    const counts = { lookups: 0 };
    const admission = Admission.create({
        getConfiguration: () => configuration,
        clock,
        random: createSeededRandom(1),
        getConcurrencyLimit: () => {
            counts.lookups += 1;
            return gateCapacity;
        },
        customerLimits: createLimits(configuration, clock, []),
    });
    const tickets: AdmissionTicket[] = [];
    const request = (index: number): void => {
        const admissionRequest = { customer: names[index % names.length]!, gate: "model", cost: 100 };
        void admission.requestAdmission(admissionRequest).then(result => result.ok && tickets.push(result.val));
    };
    for (let index = 0; index < gateCapacity + names.length; index++) {
        request(index);
    }
    return { admission, tickets, counts, request };
}

async function measureCapacityLookup(): Promise<Slope[]> {
    const points = [];
    for (const count of [runners / 4, runners / 2, runners]) {
        const { configuration, states } = createFleet(count, models, createSeededRandom(1));
        const lookup = (): number =>
            getGateCapacity(configuration, `${modelGatePrefix}model0`, name => states.get(name));
        lookup();
        const spent = await measureProcessorTime(() => {
            for (let repetition = 0; repetition < capacityLookups; repetition++) {
                lookup();
            }
        }, repetitions);
        points.push({ x: count, y: spent / capacityLookups });
    }
    return [
        fitSlope(
            { id: "customers.places", role, quantity: "lookup of the places", unit: "us", variable: "runner" },
            points,
        ),
    ];
}

/** Creates customer limits that have counted one request of each of the named customers. */
function createLimits(configuration: Configuration, clock: VirtualClock, names: readonly string[]): CustomerLimits {
    const limits = CustomerLimits.create({
        getConfiguration: () => configuration,
        clock,
        random: createSeededRandom(2),
    });
    for (const name of names) {
        limits.takeRequest(name, 0);
    }
    return limits;
}

function createConfiguration(names: readonly string[], requestsPerSecond = 1e9): Configuration {
    const limits = { maximumQueueMilliseconds: 1e9, maximumQueuedRequests: 1e6 };
    return createBenchConfiguration(Object.fromEntries(names.map(name => [name, { requestsPerSecond }])), limits);
}

function createNames(count: number): string[] {
    return Array.from({ length: count }, (_, index) => `customer-${index}`);
}
