import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { sendChat } from "../../scripts/deployment/sendChat.ts";
import { readProcessorTime } from "../path/readProcessorTime.ts";
import { collectNodeGarbage } from "./collectNodeGarbage.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import type { PathFigures } from "./pathFigures.ts";
import { readNodeMemory } from "./readNodeMemory.ts";
import type { Slope } from "./slope.ts";

const role = "data path";
const maximumTokens = 32;
const prompt = "Explain the deductions of this payslip to the family in plain words please";
const replicas = 2;
/** Delay after which all requests are running and none has ended. */
const memoryReadDelayMilliseconds = 1_500;
const fastStepMilliseconds = 0.001;
const slowStepMilliseconds = 25;
const layers = 24;
const layersPerStage = layers / designSize.stages;

/**
 * Measures one node that runs from source in front of stand-ins: its processor time per hop, and its memory per running
 * request.
 */
export async function measureDataPath(): Promise<{ slopes: Slope[]; figures: PathFigures; }> {
    const { slopes, figures } = await withDeployment(fastStepMilliseconds, measureHops);
    // The inspector is needed to collect the garbage of the node.
    const { NODE_OPTIONS } = process.env;
    process.env["NODE_OPTIONS"] = "--inspect=127.0.0.1:0";
    try {
        return { slopes: [...slopes, await withDeployment(slowStepMilliseconds, measureMemory)], figures };
    }
    finally {
        process.env["NODE_OPTIONS"] = NODE_OPTIONS ?? "";
    }
}

async function withDeployment<T>(
    stepBaseMilliseconds: number,
    measure: (deployment: LocalDeployment) => Promise<T>,
): Promise<T> {
    const deployment = await deploy(stepBaseMilliseconds);
    try {
        await deployment.apply();
        const result = await measure(deployment);
        await deployment.stop();
        return result;
    }
    finally {
        await deployment.kill();
    }
}

async function deploy(stepBaseMilliseconds: number): Promise<LocalDeployment> {
    const engines = Array.from({ length: designSize.stages * replicas }, (_, index) => {
        const start = index % designSize.stages * layersPerStage;
        return {
            name: `engine-${index}`,
            layers: `${start}-${start + layersPerStage}`,
            dataCentre: "centre-a",
            accelerator: "large",
            stepMillisecondsPerLayer: 0.0001,
            stepBaseMilliseconds,
            checksFencing: true,
        };
    });
    return await LocalDeployment.create({
        nodes: 1,
        engines,
        documents: 0,
        isBuilt: false,
        maximumSequences: 1_024,
    });
}

async function measureHops(deployment: LocalDeployment) {
    const run = async (callers: number, requests: number) => {
        const before = await readProcessorTime(deployment.nodes[0]!.adminAddress);
        const startedAt = performance.now();
        const hops = await runRequests(deployment, callers, requests) * designSize.stages;
        const seconds = (performance.now() - startedAt) / 1_000;
        const after = await readProcessorTime(deployment.nodes[0]!.adminAddress);
        return { hops, seconds, processor: after.user + after.system - before.user - before.system };
    };
    await run(64, 192);
    const points = [];
    for (const requests of [64, 128, 256]) {
        const { hops, processor } = await run(64, requests);
        points.push({ x: hops, y: processor / 1_000 });
    }
    const callers = [];
    for (const count of [1, 16, 64]) {
        const { hops, processor, seconds } = await run(count, Math.max(24, 3 * count));
        callers.push({ callers: count, hopsPerSecond: hops / seconds, microsecondsPerHop: processor / hops });
    }
    const slope = { id: "path.hop", role, quantity: "processor, 64 callers", unit: "ms", variable: "hop" };
    const memory = await readNodeMemory(deployment.nodes[0]!.adminAddress);
    return { slopes: [fitSlope(slope, points)], figures: { ...memory, callers } };
}

/** Measures the node's memory at several numbers of running requests, each time after a garbage collection. */
async function measureMemory(deployment: LocalDeployment): Promise<Slope> {
    const node = deployment.nodes[0]!;
    const points = [];
    for (const running of [75, 150, 300]) {
        const requests = runRequests(deployment, running, running);
        await new Promise(resolve => setTimeout(resolve, memoryReadDelayMilliseconds));
        await collectNodeGarbage(node.process.getLines());
        points.push({ x: running, y: (await readNodeMemory(node.adminAddress)).heapMebibytes * 1_024 });
        await requests;
    }
    const description = { id: "path.heap", role, quantity: "heap in use", unit: "KiB", variable: "running request" };
    return fitSlope(description, points);
}

/** Runs requests from concurrent callers and returns the number of tokens of all responses. */
async function runRequests(deployment: LocalDeployment, callers: number, requests: number): Promise<number> {
    let startedRequests = 0;
    let tokens = 0;
    const runCaller = async () => {
        while (startedRequests < requests) {
            startedRequests += 1;
            const answer = await sendChat({
                address: deployment.nodes[0]!.callerAddress,
                apiKey: deployment.apiKey,
                service: "assistant",
                prompt,
                maximumTokens,
                isStreamed: true,
            });
            if (!answer.isComplete) {
                throw new Error(`A response was incomplete: ${answer.status} ${answer.errorCode}.`);
            }
            tokens += answer.text.trim().split(" ").length;
        }
    };
    await Promise.all(Array.from({ length: callers }, runCaller));
    return tokens;
}
