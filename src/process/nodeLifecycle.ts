import type { Clock } from "./clock.ts";

/** Options of a {@link NodeLifecycle}. */
interface NodeLifecycleOptions {
    clock: Clock;
    /** Tells whether a configuration is in force. */
    hasConfiguration(): boolean;
    /** Monotonic time of the last answer of the store, in milliseconds; undefined before the first. */
    getStoreContact(): number | undefined;
    /** Monotonic time of the last exchange with a peer, in milliseconds; undefined before the first. */
    getPeerContact(): number | undefined;
    /** Tells whether other nodes are known, alive or not. */
    hasKnownPeers(): boolean;
}

/** Why a node takes no new requests. */
export interface NodeRefusal {
    code: string;
    message: string;
    retryAfterMilliseconds: number;
}

/** A node without an answer of the store or any peer for so long may hold an old configuration. */
const isolationMilliseconds = 10_000;
const drainingRetryMilliseconds = 500;
const notReadyRetryMilliseconds = 1_000;

/** Whether a node takes new requests. */
export class NodeLifecycle {
    private readonly options: NodeLifecycleOptions;
    private readonly startedAt: number;
    private isDraining = false;

    private constructor(options: NodeLifecycleOptions) {
        this.options = options;
        this.startedAt = options.clock.getMonotonicTime();
    }

    /** Creates the life cycle of a node that has just started. */
    static create(options: NodeLifecycleOptions): NodeLifecycle {
        return new NodeLifecycle(options);
    }

    /** From here on the node takes no new requests. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Gets why the node takes no new requests; undefined while it does. */
    getRefusal(): NodeRefusal | undefined {
        if (this.isDraining) {
            const message = "This node is shutting down. Send the request again; another node takes it.";
            return { code: "draining", message, retryAfterMilliseconds: drainingRetryMilliseconds };
        }
        if (!this.options.hasConfiguration()) {
            const message = "This node has no configuration yet. Ask again soon, or another node.";
            return { code: "not_ready", message, retryAfterMilliseconds: notReadyRetryMilliseconds };
        }
        if (this.isIsolated()) {
            const message = "This node hears neither the store nor any peer, so its configuration may be old."
                + " Send the request again; another node takes it.";
            return { code: "isolated", message, retryAfterMilliseconds: notReadyRetryMilliseconds };
        }
        return undefined;
    }

    /** Gets whether the platform's balancer should send requests here. */
    getReadiness(): { ready: boolean; reason: string; } {
        const refusal = this.getRefusal();
        return refusal === undefined ? { ready: true, reason: "Ready." } : { ready: false, reason: refusal.message };
    }

    /**
     * Tells whether neither the store nor a peer has answered lately. A single node without peers goes on when the
     * store is down: no newer version can have been accepted without the store, and nobody else could serve its
     * callers.
     */
    private isIsolated(): boolean {
        if (!this.options.hasKnownPeers()) {
            return false;
        }
        const { startedAt, options } = this;
        const lastContact = Math.max(
            startedAt,
            options.getStoreContact() ?? startedAt,
            options.getPeerContact() ?? startedAt,
        );
        return options.clock.getMonotonicTime() - lastContact > isolationMilliseconds;
    }
}
