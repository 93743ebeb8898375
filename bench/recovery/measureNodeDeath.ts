import { setTimeout as sleep } from "node:timers/promises";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { type ChatOutcome, sendChat } from "../../scripts/deployment/sendChat.ts";
import { computeReferenceAnswer } from "../../standins/engine/referenceModel.ts";

/** Figures of the callers while nodes die. Times are in milliseconds. */
export interface NodeDeathFigures {
    /** Times from the node's death to the first token of the retry at another node. */
    firstTokens: number[];
    /** Times from the node's death to the end of the retry's answer. */
    wholeAnswers: number[];
    /** Times from the request to the end of the answer, of streams on the other nodes. */
    undisturbedAnswers: number[];
    /** Number of answers that were incomplete or differed from the reference model's. */
    wrongAnswers: number;
}

const nodes = 3;
const maximumTokens = 100;
const killDelayMilliseconds = 700;

/**
 * Kills a node while its callers read their answers. Each caller retries at another node as soon as its stream ends.
 * @param seeds - Number of nodes to kill, one after another.
 * @param streams - Number of streams in flight, over all nodes.
 */
export async function measureNodeDeath(seeds: number, streams: number): Promise<NodeDeathFigures> {
    const figures: NodeDeathFigures = { firstTokens: [], wholeAnswers: [], undisturbedAnswers: [], wrongAnswers: 0 };
    const deployment = await LocalDeployment.create({ nodes, documents: 0, isBuilt: false });
    try {
        await deployment.apply();
        for (let seed = 1; seed <= seeds; seed += 1) {
            await runNodeDeath(deployment, streams, seed, figures);
        }
    }
    finally {
        await deployment.kill();
    }
    return figures;
}

async function runNodeDeath(
    deployment: LocalDeployment,
    streams: number,
    seed: number,
    figures: NodeDeathFigures,
): Promise<void> {
    const addresses = deployment.nodes.map(node => node.callerAddress);
    let diedAt = 0;
    const runCaller = async (index: number) => {
        const prompt = `Explain receipt ${seed} ${index} to the household in plain words please`;
        const startedAt = performance.now();
        const first = await sendPrompt(deployment, addresses[index % nodes]!, prompt);
        if (first?.isComplete === true) {
            figures.undisturbedAnswers.push(performance.now() - startedAt);
            figures.wrongAnswers += isCorrect(deployment, prompt, first) ? 0 : 1;
            return;
        }
        const retriedAt = performance.now();
        const next = 1 + index % (nodes - 1);
        const retry = await sendPrompt(deployment, addresses[next]!, prompt);
        figures.firstTokens.push(retriedAt - diedAt + (retry?.firstTokenMilliseconds ?? Number.NaN));
        figures.wholeAnswers.push(performance.now() - diedAt);
        figures.wrongAnswers += retry !== undefined && isCorrect(deployment, prompt, retry) ? 0 : 1;
    };
    const callers = Promise.all(Array.from({ length: streams }, (_, index) => runCaller(index)));
    await sleep(killDelayMilliseconds);
    const killedNode = deployment.nodes[0]!;
    diedAt = performance.now();
    killedNode.process.signal("SIGKILL");
    await callers;
    await deployment.removeNode(killedNode);
    await deployment.startNode();
}

/** Sends a prompt to a node. Returns undefined if the connection fails before the answer begins. */
async function sendPrompt(
    deployment: LocalDeployment,
    address: string,
    prompt: string,
): Promise<ChatOutcome | undefined> {
    const { apiKey } = deployment;
    try {
        return await sendChat({ address, apiKey, service: "assistant", prompt, maximumTokens, isStreamed: true });
    }
    catch {
        return undefined;
    }
}

function isCorrect(deployment: LocalDeployment, prompt: string, { isComplete, text }: ChatOutcome): boolean {
    const { modelLayers } = deployment;
    return isComplete
        && text === computeReferenceAnswer({ modelLayers, prompt: `user: ${prompt}`, maximumTokens }).text;
}
