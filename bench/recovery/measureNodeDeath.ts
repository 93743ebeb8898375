import { setTimeout as sleep } from "node:timers/promises";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { type ChatOutcome, sendChat } from "../../scripts/deployment/sendChat.ts";
import { referenceAnswer } from "../../standins/engine/referenceModel.ts";

/** What the callers of nodes that died saw; times in milliseconds. */
export interface NodeDeathFigures {
    /** From the node's death to the first token of the repeat at another node. */
    firstTokens: number[];
    /** From the node's death to the whole answer of the repeat. */
    wholeAnswers: number[];
    /** Times of whole answers of the streams on the nodes that lived. */
    undisturbedAnswers: number[];
    /** Answers that were not what the model says, or did not come whole. */
    wrongAnswers: number;
}

const nodes = 3;
const maximumTokens = 100;
const untilDeathMilliseconds = 700;

/**
 * Kills a node while its callers read their answers; each repeats its request at another node as soon as it sees the end.
 * @param seeds - How many nodes die, one after another.
 * @param streams - Streams in flight, over all nodes.
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
        const first = await ask(deployment, addresses[index % nodes]!, prompt);
        if (first?.isWhole === true) {
            figures.undisturbedAnswers.push(performance.now() - startedAt);
            figures.wrongAnswers += isRight(deployment, prompt, first) ? 0 : 1;
            return;
        }
        const repeatedAt = performance.now();
        const next = 1 + index % (nodes - 1);
        const repeat = await ask(deployment, addresses[next]!, prompt);
        figures.firstTokens.push(repeatedAt - diedAt + (repeat?.firstTokenMilliseconds ?? Number.NaN));
        figures.wholeAnswers.push(performance.now() - diedAt);
        figures.wrongAnswers += repeat !== undefined && isRight(deployment, prompt, repeat) ? 0 : 1;
    };
    const callers = Promise.all(Array.from({ length: streams }, (_, index) => runCaller(index)));
    await sleep(untilDeathMilliseconds);
    const victim = deployment.nodes[0]!;
    diedAt = performance.now();
    victim.process.signal("SIGKILL");
    await callers;
    await deployment.forgetNode(victim);
    await deployment.startNode();
}

/** Asks a node; undefined where the connection fails before the answer begins. */
async function ask(deployment: LocalDeployment, address: string, prompt: string): Promise<ChatOutcome | undefined> {
    const { apiKey } = deployment;
    try {
        return await sendChat({ address, apiKey, service: "assistant", prompt, maximumTokens, isStreamed: true });
    }
    catch {
        return undefined;
    }
}

function isRight(deployment: LocalDeployment, prompt: string, { isWhole, text }: ChatOutcome): boolean {
    const { modelLayers } = deployment;
    return isWhole && text === referenceAnswer({ modelLayers, prompt: `user: ${prompt}`, maximumTokens }).text;
}
