import { Pool } from "undici";
import type { SeededRandom } from "../seededRandom.ts";
import type { CallConnection } from "./callConnection.ts";
import type { CallContent } from "./callContent.ts";
import type { CallKind } from "./callKind.ts";
import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import { createCall } from "./createCall.ts";
import { createCallRecord } from "./createCallRecord.ts";
import { modelRanks } from "./modelRanks.ts";
import type { PromptSeries } from "./promptSeries.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import { sendCallPair } from "./sendCallPair.ts";
import type { SoakNode } from "./soakNode.ts";

/** Options of {@link RouterCallers}. */
interface RouterCallersOptions {
    deployment: RouterDeployment;
    random: SeededRandom;
    /** Used for the requests that are sent behind others, so that the others stay as they are. There are none if undefined. */
    randomBehind?: SeededRandom;
    /** Called after each request. */
    onEnded(record: CallRecord): void;
}

const modelKinds = Object.keys(modelRanks) as CallKind[];
const documentKinds: readonly CallKind[] = [callKinds.safe, callKinds.unsafe];
/** Share of model requests outside bursts. */
const modelShare = 0.5;
/** Maximum of connections to each node. */
const connections = 40;
/** Time without an event after which a patient caller leaves its stream. */
const patienceMilliseconds = 2_000;
/** Time after which the caller gives up: 4 s after the deadline of its request. */
const callerTimeoutMilliseconds = 9_000;
const healthCheckIntervalMilliseconds = 1_000;
/** Consecutive failed health checks after which the load balancer removes a node from the rotation. */
const maximumFailures = 2;
/** Share of requests whose callers disconnect early, and the maximum delay until then. */
const disconnectShare = 0.08;
const maximumDisconnectDelayMilliseconds = 800;
/** One in this many requests is followed by another one over its connection, usually before its answer has ended. */
const pairInterval = 11;
/** Share of these that follow at once, and the maximum delay of the others. */
const immediateShare = 0.5;
const maximumPairDelayMilliseconds = 500;
/** Share of requests that go to any node, as over kept-alive connections that bypass the load balancer's rotation. */
const bypassShare = 0.2;

/** Simulated callers that send requests over kept-alive connections through a load balancer, which polls readiness. */
export class RouterCallers {
    private readonly options: RouterCallersOptions;
    private readonly pools = new Map<SoakNode, Pool>();
    private readonly failures = new Map<SoakNode, number>();
    private sentCount = 0;
    /** Kept connections for requests that are sent behind others. */
    private readonly idle = new Map<SoakNode, CallConnection[]>();
    private readonly timer: NodeJS.Timeout;

    private constructor(options: RouterCallersOptions) {
        this.options = options;
        this.timer = setInterval(() => void this.checkReadiness(), healthCheckIntervalMilliseconds);
    }

    /** Creates callers and starts the health checks of the nodes. */
    static create(options: RouterCallersOptions): RouterCallers {
        return new RouterCallers(options);
    }

    /** Stops the health checks and closes all connections. */
    async close(): Promise<void> {
        clearInterval(this.timer);
        for (const pool of this.pools.values()) {
            await pool.destroy();
        }
        for (const connection of [...this.idle.values()].flat()) {
            connection.close();
        }
    }

    private async checkReadiness(): Promise<void> {
        const { deployment } = this.options;
        for (const node of deployment.nodes) {
            const isReady = await deployment.isReady(node);
            this.failures.set(node, isReady ? 0 : (this.failures.get(node) ?? 0) + 1);
        }
    }

    private chooseNode(): SoakNode {
        const { random, deployment: { nodes } } = this.options;
        const bypassesRotation = random.isHit(bypassShare);
        const inRotation = nodes.filter(node => bypassesRotation || (this.failures.get(node) ?? 0) < maximumFailures);
        return random.choose(inRotation.length > 0 ? inRotation : nodes)!;
    }

    /** Sends a request; resolves after the response, or when the caller disconnects, as a share of them does. */
    async send(id: string): Promise<void> {
        const call = this.createCall(id);
        const disconnects = this.options.random.isHit(disconnectShare);
        const { randomBehind } = this.options;
        this.sentCount += 1;
        await (randomBehind !== undefined && this.sentCount % pairInterval === 0
            ? this.callWithOneBehind(call, randomBehind)
            : this.call(call, disconnects));
    }

    /** Sends a request whose caller never disconnects early. */
    async sendWithoutDisconnect(id: string): Promise<void> {
        await this.call(this.createCall(id), false);
    }

    /** Sends a model request of a kind. */
    async sendOfKind(id: string, kind: CallKind): Promise<void> {
        await this.call(this.createCall(id, kind), false);
    }

    /**
     * Sends a request with a stream whose caller leaves it after a long time without an event.
     * @param content - What it has in common with others; the rest is chosen at random.
     */
    async sendWithPatience(
        id: string,
        kind: CallKind,
        content: Partial<Pick<CallContent, "path" | "body" | "customer">> = {},
    ): Promise<void> {
        await this.call({ ...this.createCall(id, kind), ...content, patienceMilliseconds }, false);
    }

    /** Sends a request that crashes the endpoints that run it. */
    async sendHarmful(call: Pick<CallContent, "id" | "kind" | "path" | "body" | "customer">): Promise<void> {
        await this.call({ ...call, method: "POST" }, false);
    }

    /** Sends a request that declares the parts of its prompt. */
    async sendWithPrompt({ id, kind, customer, role }: ReturnType<PromptSeries["createCall"]>): Promise<void> {
        await this.call({ ...this.createCall(id, kind), customer, role }, false);
    }

    private async call(content: CallContent, disconnects: boolean): Promise<void> {
        const node = this.chooseNode();
        const { record, headers } = createCallRecord(content, node, this.options.random);
        await this.receive(record, headers, this.getPool(node), disconnects);
        record.endedAt = Date.now();
        this.options.onEnded(record);
    }

    private async callWithOneBehind(content: CallContent, randomBehind: SeededRandom): Promise<void> {
        const { random, onEnded } = this.options;
        const node = this.chooseNode();
        const idle = this.idle.get(node) ?? [];
        this.idle.set(node, idle);
        const behind = createCall(`${content.id}-behind`, chooseKind(randomBehind), randomBehind);
        await sendCallPair({
            port: node.ports.callers,
            idle,
            ahead: createCallRecord(content, node, random),
            behind: createCallRecord({ ...behind, aheadId: content.id }, node, randomBehind),
            delayMilliseconds: randomBehind.isHit(immediateShare)
                ? 0
                : randomBehind.chooseInteger(1, maximumPairDelayMilliseconds),
            timeoutMilliseconds: callerTimeoutMilliseconds,
            onEnded,
        });
    }

    private createCall(id: string, kind = chooseKind(this.options.random)): CallContent {
        return createCall(id, kind, this.options.random);
    }

    private async receive(
        record: CallRecord,
        headers: Readonly<Record<string, string>>,
        pool: Pool,
        disconnects: boolean,
    ): Promise<void> {
        const { random } = this.options;
        const controller = new AbortController();
        const disconnect = () => {
            record.leftAt = Date.now();
            controller.abort();
        };
        const timer = disconnects
            ? setTimeout(disconnect, random.chooseInteger(0, maximumDisconnectDelayMilliseconds))
            : undefined;
        const { patienceMilliseconds: patience } = record;
        const patienceTimer = patience === undefined ? undefined : setTimeout(disconnect, patience);
        try {
            const answer = await pool.request({
                method: record.method,
                path: record.path,
                headers,
                body: record.body,
                signal: AbortSignal.any([
                    controller.signal,
                    AbortSignal.timeout(callerTimeoutMilliseconds),
                ]),
            });
            record.status = answer.statusCode;
            const signature = answer.headers["response-seal"];
            record.signature = typeof signature === "string" ? signature : undefined;
            for await (const chunk of answer.body) {
                patienceTimer?.refresh();
                record.text += String(chunk);
            }
            record.isComplete = true;
        }
        catch (error) {
            record.reason = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
        }
        finally {
            clearTimeout(timer);
            clearTimeout(patienceTimer);
        }
    }

    private getPool(node: SoakNode): Pool {
        const known = this.pools.get(node);
        if (known !== undefined) {
            return known;
        }
        const options = { connections, pipelining: 1, keepAliveTimeout: 12_000 };
        const pool = new Pool(`http://127.0.0.1:${node.ports.callers}`, options);
        this.pools.set(node, pool);
        return pool;
    }
}

function chooseKind(random: SeededRandom): CallKind {
    return random.choose(random.isHit(modelShare) ? modelKinds : documentKinds)!;
}
