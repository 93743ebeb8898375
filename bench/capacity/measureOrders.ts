import type { EndpointState } from "../../src/connection/endpoint/endpointState.ts";
import { OrderDispatcher } from "../../src/process/orders/orderDispatcher.ts";
import { OrderPolicy } from "../../src/process/orders/orderPolicy.ts";
import { Ok } from "../../src/result.ts";
import type { Configuration } from "../../src/version/configuration.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";
import { MemoryStore } from "../../tests/support/memoryStore.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createSizedConfiguration } from "./createSizedConfiguration.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";

const role = "order holder";
const { models, runners } = designSize;
const startMilliseconds = 5_000;
const runSeconds = 30;

/** Results of one run of the holder of the order lease. */
interface OrderRun {
    /** Processor time per round in milliseconds; there is one round per second. */
    processor: number;
    /** Calls to the store per second. */
    storeCalls: number;
    /** Status calls to engines per second. */
    statusCalls: number;
}

/**
 * Measures the holder of the lease for ordering engines to load layers over virtual time, with and without a model whose
 * layers lack reachable engines.
 */
export async function measureOrders(): Promise<Slope[]> {
    const completeRounds = [];
    const incompleteRounds = [];
    const storeCalls = [];
    const statusCalls = [];
    await run(createConfiguration(runners), false);
    for (const count of [runners / 4, runners / 2, runners]) {
        const configuration = createConfiguration(count);
        const complete = await run(configuration, false);
        const incomplete = await run(configuration, true);
        completeRounds.push({ x: count, y: complete.processor });
        storeCalls.push({ x: count, y: complete.storeCalls });
        incompleteRounds.push({ x: count, y: incomplete.processor });
        statusCalls.push({ x: count, y: incomplete.statusCalls });
    }
    const variable = "engine";
    const lacksLayers = "a model lacks layers";
    return [
        fitSlope({ id: "orders.round", role, quantity: "round", unit: "ms", variable }, completeRounds),
        fitSlope({ id: "orders.store", role, quantity: "store calls", unit: "1/s", variable }, storeCalls),
        fitSlope(
            { id: "orders.lackRound", role, quantity: `round, ${lacksLayers}`, unit: "ms", variable },
            incompleteRounds,
        ),
        fitSlope(
            { id: "orders.lackCalls", role, quantity: `status calls, ${lacksLayers}`, unit: "1/s", variable },
            statusCalls,
        ),
    ];
}

async function run(configuration: Configuration, lacksLayers: boolean): Promise<OrderRun> {
    const clock = VirtualClock.create();
    const store = MemoryStore.create();
    const states: EndpointState[] = Object.entries(configuration.endpoints).map(([endpoint, { layers }]) => ({
        endpoint,
        layers,
        state: lacksLayers && layers[0]?.model === "model-0" ? "unreachable" : "serving",
    }));
    let statusCalls = 0;
    const dispatcher = OrderDispatcher.create({
        nodeId: "entry-0",
        store,
        clock,
        random: Math.random,
        log: { write: () => undefined },
        policy: OrderPolicy,
        getConfiguration: () => configuration,
        getEndpointStates: () => states,
        sendOrder: () => Promise.resolve(Ok(200)),
        getStatus: endpoint => {
            statusCalls += 1;
            return Promise.resolve(Ok(createStatus(endpoint)));
        },
        isDutyOwner: () => true,
    });
    dispatcher.start();
    await clock.runUntil(startMilliseconds);
    const callsBefore = store.getCallCount();
    statusCalls = 0;
    const spent = await measureProcessorTime(async () => {
        for (let second = 1; second <= runSeconds; second++) {
            await clock.runUntil(startMilliseconds + second * 1_000);
            await new Promise(resolve => setImmediate(resolve));
        }
    });
    const result = {
        processor: spent / 1_000 / runSeconds,
        storeCalls: (store.getCallCount() - callsBefore) / runSeconds,
        statusCalls: statusCalls / runSeconds,
    };
    await dispatcher.stop();
    return result;
}

function createStatus(endpoint: string) {
    return {
        endpoint,
        leaving: false,
        layers: [],
        queue: 0,
        sequences: 0,
        freePositions: 100_000,
        fencingNumber: 1,
        loadAgeMilliseconds: 0,
        cacheSequence: 0,
    };
}

function createConfiguration(count: number): Configuration {
    const text = JSON.stringify(createSizedConfiguration({ customers: 0, runners: count, models }));
    return parseConfiguration(text).unwrap();
}
