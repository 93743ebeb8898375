import { Pool } from "undici";
import { callerKey } from "../../../standins/router/callerKey.ts";
import type { SeededRandom } from "../seededRandom.ts";
import type { CallKind } from "./callKind.ts";
import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import { harmfulBody } from "./harmfulBody.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { SoakNode } from "./soakNode.ts";

/** Options of a {@link RouterCallers}. */
interface RouterCallersOptions {
    deployment: RouterDeployment;
    random: SeededRandom;
    /** Called once a request has ended. */
    onEnded(record: CallRecord): void;
}

/** What a caller asks for. */
type CallContent = Pick<CallRecord, "id" | "kind" | "method" | "path" | "body">;

const kinds: readonly CallKind[] = Object.values(callKinds);
/** Connections that callers keep to each node. */
const connections = 12;
const deadlineMilliseconds = 5_000;
/** A caller gives up this long after its deadline. */
const patienceMilliseconds = 4_000;
const longestBody = 3_000;
const readinessMilliseconds = 1_000;
/** Failed checks in a row after which the balancer leaves a node out. */
const maximumFailures = 2;
/** Share of requests whose callers leave, and after what time in milliseconds at the longest. */
const leavingShare = 0.08;
const longestStay = 800;
/** Share of requests that go to any node over a connection that was kept, whatever the balancer knows. */
const keptShare = 0.2;

/** Callers who send requests over kept connections, to the nodes that are ready. */
export class RouterCallers {
    private readonly options: RouterCallersOptions;
    private readonly pools = new Map<SoakNode, Pool>();
    private readonly failures = new Map<SoakNode, number>();
    private readonly timer: NodeJS.Timeout;

    private constructor(options: RouterCallersOptions) {
        this.options = options;
        this.timer = setInterval(() => void this.checkReadiness(), readinessMilliseconds);
    }

    /** Creates callers who send nothing before {@link RouterCallers.send}, and know which nodes are ready. */
    static create(options: RouterCallersOptions): RouterCallers {
        return new RouterCallers(options);
    }

    /** Ends all connections. */
    async close(): Promise<void> {
        clearInterval(this.timer);
        for (const pool of this.pools.values()) {
            await pool.destroy();
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
        const isKept = random.isHit(keptShare);
        const inRotation = nodes.filter(node => isKept || (this.failures.get(node) ?? 0) < maximumFailures);
        return random.choose(inRotation.length > 0 ? inRotation : nodes)!;
    }

    /** Sends a request to one of the nodes; ends with its answer, or when its caller leaves, as some do. */
    async send(id: string): Promise<void> {
        await this.call(this.createCall(id), this.options.random.isHit(leavingShare));
    }

    /** Sends a request whose caller stays until it has its answer. */
    async sendPatiently(id: string): Promise<void> {
        await this.call(this.createCall(id), false);
    }

    private createCall(id: string): CallContent {
        const { random } = this.options;
        const kind = random.choose(kinds)!;
        const path = `/${kind}/${id}?of=${random.chooseInteger(0, 9)}`;
        const isDocumentRead = kind === callKinds.safe;
        const body = isDocumentRead ? "" : createBody(random);
        return { id, kind, method: isDocumentRead ? "GET" : "POST", path, body };
    }

    /** Sends a request that ends the endpoints which run it. */
    async sendHarmful(id: string, kind: CallKind, path: string): Promise<void> {
        await this.call({ id, kind, method: "POST", path, body: harmfulBody }, false);
    }

    private async call(content: CallContent, leaves: boolean): Promise<void> {
        const node = this.chooseNode();
        const record: CallRecord = {
            ...content,
            node: node.name,
            sentAt: Date.now(),
            endedAt: 0,
            leftAt: undefined,
            status: 0,
            signature: undefined,
            text: "",
            isComplete: false,
            reason: "",
        };
        await this.receive(record, this.getPool(node), leaves);
        record.endedAt = Date.now();
        this.options.onEnded(record);
    }

    private async receive(record: CallRecord, pool: Pool, leaves: boolean): Promise<void> {
        const { random } = this.options;
        const left = new AbortController();
        const leave = () => {
            record.leftAt = Date.now();
            left.abort();
        };
        const timer = leaves ? setTimeout(leave, random.chooseInteger(0, longestStay)) : undefined;
        try {
            const answer = await pool.request({
                method: record.method,
                path: record.path,
                headers: {
                    host: "one.example",
                    "request-id": record.id,
                    "request-deadline-ms": String(deadlineMilliseconds),
                    authorization: `Bearer ${callerKey}`,
                },
                body: record.body,
                signal: AbortSignal.any([
                    left.signal,
                    AbortSignal.timeout(deadlineMilliseconds + patienceMilliseconds),
                ]),
            });
            record.status = answer.statusCode;
            const signature = answer.headers["response-seal"];
            record.signature = typeof signature === "string" ? signature : undefined;
            for await (const chunk of answer.body) {
                record.text += String(chunk);
            }
            record.isComplete = true;
        }
        catch (error) {
            record.reason = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
        }
        finally {
            clearTimeout(timer);
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

function createBody(random: SeededRandom): string {
    return String(random.chooseInteger(0, 9)).repeat(random.chooseInteger(1, longestBody));
}
