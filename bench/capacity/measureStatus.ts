import { EndpointDirectory } from "../../src/connection/endpoint/endpointDirectory.ts";
import { EndpointInstructions } from "../../src/connection/instructions/endpointInstructions.ts";
import { createNodeStatus } from "../../src/process/createNodeStatus.ts";
import { MembershipView } from "../../src/process/membership/membershipView.ts";
import { Metrics } from "../../src/process/metrics/metrics.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";
import { createMembers } from "./createMembers.ts";
import { createSizedConfiguration } from "./createSizedConfiguration.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";

const role = "operator command";
const repetitions = 20;
const states = ["serving", "leaving", "unreachable"];

/** Measures the responses of a node to operators: its status and its metrics. */
export async function measureStatus(): Promise<Slope[]> {
    const statusBytes = [];
    const statusTime = [];
    const metricBytes = [];
    const metricTime = [];
    for (const sizeFactor of [0.25, 0.5, 1]) {
        const runners = sizeFactor * designSize.runners;
        const createStatus = prepareStatus(Math.round(sizeFactor * designSize.nodes), runners);
        createStatus();
        statusBytes.push({ x: runners, y: createStatus().length });
        statusTime.push({ x: runners, y: await measureRepeated(createStatus) });
        const metrics = Metrics.create();
        for (let index = 0; index < runners; index++) {
            for (const state of states) {
                metrics.endpointState.set({ endpoint: `runner-${index}`, state }, 0);
            }
        }
        metricBytes.push({ x: runners, y: (await metrics.registry.metrics()).length });
        metricTime.push({ x: runners, y: await measureRepeated(() => metrics.registry.metrics()) });
    }
    const variable = "engine";
    const statusQuantity = "status, 0.28 nodes an engine";
    return [
        fitSlope({ id: "status.bytes", role, quantity: statusQuantity, unit: "B", variable }, statusBytes),
        fitSlope({ id: "status.processor", role, quantity: statusQuantity, unit: "ms", variable }, statusTime),
        fitSlope({ id: "metrics.bytes", role, quantity: "metrics", unit: "B", variable }, metricBytes),
        fitSlope({ id: "metrics.processor", role, quantity: "metrics", unit: "ms", variable }, metricTime),
    ];
}

async function measureRepeated(run: () => unknown): Promise<number> {
    return await measureProcessorTime(run, repetitions) / 1_000;
}

function prepareStatus(nodes: number, runners: number): () => string {
    const view = MembershipView.create({
        nodeId: "entry-0",
        peerAddress: "10.0.0.1:7400",
        dataCentre: "a",
        incarnation: 1,
    });
    view.applyRecords(createMembers(nodes), 0);
    const directory = EndpointDirectory.create({
        clock: systemClock,
        instructions: EndpointInstructions.create({ clock: systemClock, log: { write: () => undefined } }),
        onAnswered: () => undefined,
        onSilentConnection: () => undefined,
        onStateChanged: () => undefined,
    });
    const text = JSON.stringify(createSizedConfiguration({ customers: 0, runners, models: designSize.models }));
    directory.update(parseConfiguration(text).unwrap());
    return () =>
        JSON.stringify(createNodeStatus({
            view,
            directory,
            readiness: { ready: true, reason: "" },
            version: undefined,
            storeSilentMilliseconds: 1_000,
            peersSilentMilliseconds: 100,
            runningRequests: 100,
            queuedRequests: 0,
            flowBoundTokensPerSecond: 1_000,
            tokensPerSecond: 1_000,
        }));
}
