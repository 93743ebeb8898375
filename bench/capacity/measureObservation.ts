import { create } from "@bufbuild/protobuf";
import { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";
import { EngineConnection } from "../../src/connection/endpoint/engineConnection.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { EndpointRecordSchema } from "../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import { countWireBytes } from "./countWireBytes.ts";
import { createBenchEndpointService } from "./createBenchEndpointService.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { getHeapBytes } from "./getHeapBytes.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";
import { startStandin } from "./startStandin.ts";

const role = "endpoint observer";
const { nodes, runners } = designSize;
const repetitions = 3;
const cachedRounds = 50;
const runnerCounts = [runners / 4, runners / 2, runners];
/** host:port on which no process listens. */
const closedAddress = "127.0.0.1:9";

/** Measures the status calls to engines, the assignment of observers, and the records of the other observers. */
export async function measureObservation(): Promise<Slope[]> {
    return [...await measureCalls(), ...await measureDuty(), ...await measureRecords(), ...await measureRecordQueue()];
}

async function measureCalls(): Promise<Slope[]> {
    const engine = await startStandin("standins/engine/main.ts", [
        ...["--name", "runner-1", "--layers", "model-1:0-8", "--model-layers", "model-1:32"],
    ]);
    const reachable = connect(engine.address);
    const unreachable = connect(closedAddress);
    await repeat(1_000, () => reachable.getStatus());
    const answeredPoints = [];
    for (const calls of [250, 500, 1_000]) {
        const spent = await measureProcessorTime(() => repeat(calls, () => reachable.getStatus()), repetitions);
        answeredPoints.push({ x: calls, y: spent });
    }
    const refusedPoints = [];
    const callRefused = async (): Promise<void> => {
        await unreachable.getStatus();
        await unreachable.isAnswering();
    };
    await repeat(500, callRefused);
    for (const calls of [250, 500, 1_000]) {
        const spent = await measureProcessorTime(() => repeat(calls, callRefused), repetitions);
        refusedPoints.push({ x: calls, y: spent });
    }
    const bytePoints = [];
    for (const calls of [10, 20, 40]) {
        const bytes = await countWireBytes(engine.address, async address => {
            const connection = connect(address);
            await repeat(calls, () => connection.getStatus());
            await connection.close();
        });
        bytePoints.push({ x: calls, y: bytes });
    }
    await reachable.close();
    await unreachable.close();
    await engine.stop();
    const variable = "call";
    return [
        fitSlope({ id: "observer.call", role, quantity: "status call", unit: "us", variable }, answeredPoints),
        fitSlope({ id: "observer.callBytes", role, quantity: "status call", unit: "B", variable }, bytePoints),
        fitSlope(
            { id: "observer.refused", role, quantity: "status and probe, refused", unit: "us", variable },
            refusedPoints,
        ),
    ];
}

/**
 * Measures the rounds of a node that observes no engine: after a change of the members, when the observers are assigned
 * again, and with the cached assignment.
 */
async function measureDuty(): Promise<Slope[]> {
    const points = [];
    const cachedPoints = [];
    for (const members of [nodes / 10, nodes / 4, nodes / 2, nodes]) {
        const { service, runRound } = await createBenchEndpointService(runners, members);
        const runChangedRound = (): void => {
            service.updateDuties();
            runRound();
        };
        runChangedRound();
        points.push({ x: members, y: await measureProcessorTime(runChangedRound, repetitions) / 1_000 });
        const spent = await measureProcessorTime(() => repeat(cachedRounds, runRound), repetitions);
        cachedPoints.push({ x: members, y: spent / 1_000 / cachedRounds });
        await service.close();
    }
    const variable = "node";
    const unit = "ms";
    return [
        fitSlope({ id: "observer.duty", role, quantity: "round after a change of members", unit, variable }, points),
        fitSlope({ id: "observer.round", role, quantity: "round, duty kept", unit, variable }, cachedPoints),
    ];
}

async function measureRecords(): Promise<Slope[]> {
    const points = [];
    const { service } = await createBenchEndpointService(runners, nodes);
    let sequence = Date.now();
    // The first, largest count is a warm-up.
    for (const count of [8 * runners, ...runnerCounts]) {
        const batches = Array.from({ length: repetitions }, () => createRecords(count, sequence += count));
        const apply = () => service.applyRecords(batches.shift() ?? []);
        points.push({ x: count, y: await measureProcessorTime(apply, repetitions) });
    }
    await service.close();
    const heap = [];
    for (const count of runnerCounts) {
        const before = getHeapBytes();
        const services = [];
        for (let copy = 0; copy < 4; copy++) {
            const { service: sizedService } = await createBenchEndpointService(count, 3);
            sizedService.applyRecords(createRecords(count, Date.now()));
            services.push(sizedService);
        }
        heap.push({ x: count, y: (getHeapBytes() - before) / services.length });
        for (const sizedService of services) {
            await sizedService.close();
        }
    }
    return [
        fitSlope(
            { id: "observer.record", role, quantity: "record applied", unit: "us", variable: "record" },
            points.slice(1),
        ),
        fitSlope({ id: "observer.heap", role, quantity: "state of an engine", unit: "B", variable: "engine" }, heap),
    ];
}

/** Measures the selection of the records for one message from the queued records. */
async function measureRecordQueue(): Promise<Slope[]> {
    const points = [];
    for (const count of runnerCounts) {
        const { service } = await createBenchEndpointService(count, nodes);
        service.applyRecords(createRecords(count, Date.now()));
        const messages = 200;
        const collect = () => repeat(messages, () => service.collectRecords(256));
        const spent = await measureProcessorTime(collect, repetitions);
        points.push({ x: count, y: spent / messages });
        await service.close();
    }
    const description = { id: "observer.collect", role, quantity: "records of a message", unit: "us" };
    return [fitSlope({ ...description, variable: "record that waits" }, points)];
}

function createRecords(count: number, sequence: number) {
    return Array.from({ length: count }, (_, index) =>
        create(EndpointRecordSchema, {
            endpoint: `runner-${index % runners}`,
            observer: "entry-1",
            sequence: BigInt(sequence + index),
            state: "serving",
            queueDepth: index % 8,
            freeTokens: 100_000,
            sequences: 3,
            layers: [{ model: `model-${index % designSize.models}`, start: 0, end: 8 }],
        }));
}

function connect(address: string): EngineConnection {
    const ignore = () => undefined;
    return EngineConnection.create({
        endpoint: "runner-1",
        address: EndpointAddress.parse(address).unwrap(),
        clock: systemClock,
        onAnswered: ignore,
        onSilentConnection: ignore,
        onInstructions: ignore,
        onConnectionRefused: ignore,
        isPaused: () => false,
    });
}

async function repeat(count: number, run: () => unknown): Promise<void> {
    for (let index = 0; index < count; index++) {
        await run();
    }
}
