/**
 * Measures the path of a request through one node: requests, tokens and hops per second, processor time per hop, and
 * latency, compared with the same passes sent directly to the stand-ins. Engine steps take almost no time, so the figures
 * show the overhead of the node.
 */
import { build, type Histogram } from "hdr-histogram-js";
import { LocalDeployment } from "../scripts/deployment/localDeployment.ts";
import { sendChat } from "../scripts/deployment/sendChat.ts";
import { readProcessorTime } from "./path/readProcessorTime.ts";
import { sendDirect } from "./path/sendDirect.ts";

/** Results for one way of sending the requests. */
interface PathFigures {
    way: string;
    callers: number;
    requestsPerSecond: number;
    tokensPerSecond: number;
    hopsPerSecond: number;
    medianMilliseconds: number;
    percentile99Milliseconds: number;
    /** Processor time per hop of this process for direct requests, of the node otherwise. */
    processorMicrosecondsPerHop: number;
}

const maximumTokens = 32;
const requestsPerCaller = 16;
const prompt = "Explain the deductions of this payslip to the family in plain words please";
const microsecondsPerSecond = 1_000_000;

process.chdir(new URL("..", import.meta.url).pathname);
const engines = [1, 2, 3].flatMap(replica => [
    createEngine(`first-${replica}`, "0-12"),
    createEngine(`second-${replica}`, "12-24"),
]);
const deployment = await LocalDeployment.create({ nodes: 1, engines, documents: 0, isBuilt: false });
try {
    await deployment.apply();
    const node = deployment.nodes[0]!;
    const figures: PathFigures[] = [];
    for (const callers of [1, 16, 64]) {
        figures.push(await measure("direct", callers, index => runDirect(index), () => process.cpuUsage()));
        figures.push(
            await measure("through a node", callers, () => runThroughNode(), () => {
                return readProcessorTime(node.adminAddress);
            }),
        );
    }
    console.table(figures);
    for (let index = 0; index < figures.length; index += 2) {
        const [direct, through] = [figures[index]!, figures[index + 1]!];
        const ratio = through.medianMilliseconds / direct.medianMilliseconds;
        console.log(`${direct.callers} callers: median latency through a node / direct = ${ratio.toFixed(2)}`);
    }
}
finally {
    await deployment.stop();
}

function createEngine(name: string, layers: string) {
    return {
        name,
        layers,
        dataCentre: "centre-a",
        accelerator: "large",
        stepMillisecondsPerLayer: 0.0001,
        stepBaseMilliseconds: 0.001,
        checksFencing: true,
    };
}

async function runThroughNode(): Promise<number> {
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
    return answer.text.trim().split(" ").length;
}

async function runDirect(index: number): Promise<number> {
    const replica = index % 3;
    const stages = [deployment.engines[replica * 2]!, deployment.engines[replica * 2 + 1]!];
    return await sendDirect({
        addresses: stages.map(stage => stage.address),
        model: deployment.model,
        layers: deployment.modelLayers,
        prompt: `user: ${prompt}`,
        maximumTokens,
    });
}

async function measure(
    way: string,
    callers: number,
    run: (index: number) => Promise<number>,
    readProcessor: () => NodeJS.CpuUsage | Promise<NodeJS.CpuUsage>,
): Promise<PathFigures> {
    const measuredRequests = callers * requestsPerCaller;
    await runAll(callers, callers * 2, run, build());
    const histogram = build();
    const before = await readProcessor();
    const startedAt = performance.now();
    const tokens = await runAll(callers, measuredRequests, run, histogram);
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readProcessor();
    const hops = tokens * 2;
    const processorMicroseconds = after.user + after.system - before.user - before.system;
    return {
        way,
        callers,
        requestsPerSecond: Math.round(measuredRequests / seconds),
        tokensPerSecond: Math.round(tokens / seconds),
        hopsPerSecond: Math.round(hops / seconds),
        medianMilliseconds: histogram.getValueAtPercentile(50) / 1_000,
        percentile99Milliseconds: histogram.getValueAtPercentile(99) / 1_000,
        processorMicrosecondsPerHop: Math.round(10 * processorMicroseconds / hops) / 10,
    };
}

/**
 * Runs requests from concurrent callers.
 * @param callers - Number of concurrent callers.
 * @param requests - Number of requests of all callers together.
 * @param run - Runs the request with an index and returns its number of tokens.
 * @param histogram - Records the latencies, in microseconds.
 * @returns The number of tokens of all responses.
 */
async function runAll(
    callers: number,
    requests: number,
    run: (index: number) => Promise<number>,
    histogram: Histogram,
): Promise<number> {
    let nextIndex = 0;
    let tokens = 0;
    const runCaller = async () => {
        while (nextIndex < requests) {
            const index = nextIndex;
            nextIndex += 1;
            const startedAt = performance.now();
            const count = await run(index);
            tokens += count;
            histogram.recordValue(Math.round((performance.now() - startedAt) / 1_000 * microsecondsPerSecond));
        }
    };
    await Promise.all(Array.from({ length: callers }, runCaller));
    return tokens;
}
