import type { buildConnector } from "undici";
import type { Clock } from "../../process/clock.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { AnswerInstructions } from "../instructions/answerInstructions.ts";
import type { BatchCloseInfo } from "./batchCloseInfo.ts";
import { createPassFailure } from "./createPassFailure.ts";
import { createPendingPass } from "./createPendingPass.ts";
import type { EndpointAddress } from "./endpointAddress.ts";
import { EngineCalls } from "./engineCalls.ts";
import { EnginePool } from "./enginePool.ts";
import type { CancelOrder, EngineOrder, EngineStatus, Pass, PassResult } from "./engineProtocol.ts";
import { EngineReachability } from "./engineReachability.ts";
import { PassDeadline } from "./passDeadline.ts";
import type { PassFailure } from "./passFailure.ts";
import type { PendingPass } from "./pendingPass.ts";
import { PrefillWindow } from "./prefillWindow.ts";
import { probeEngine } from "./probeEngine.ts";
import type { ProbeOutcome } from "./probeOutcome.ts";
import { sendPassBatch } from "./sendPassBatch.ts";

/** Options of an {@link EngineConnection}. */
export interface EngineConnectionOptions {
    endpoint: string;
    /** Address of the engine, as host:port. */
    address: EndpointAddress;
    /** Opens the connections. Default: the HTTP client does. */
    connect?: buildConnector.connector;
    clock: Clock;
    /** Called for each pass with a result, with the time from the send to the result in milliseconds. */
    onAnswered(endpoint: string, pass: Pass, result: PassResult, elapsedMilliseconds: number): void;
    /** Called with the instructions of each answer. */
    onInstructions(endpoint: string, instructions: AnswerInstructions): void;
    /** Called when the engine refuses connections, since no process listens at its address. */
    onConnectionRefused(endpoint: string): void;
    /** Checks if the engine has asked this node for a pause that has not ended. */
    isPaused(endpoint: string): boolean;
    /** Called when the connections are replaced, because one stopped responding while a new one works. */
    onSilentConnection(endpoint: string): void;
}

/** Maximum number of times one pass is sent, including the first. */
const maximumSends = 4;
/** Maximum number of positions of prefill passes in flight to the engine; see docs/design/recovery.md. */
const maximumPrefillPositions = 256;
/** Reason of passes that were not run because the engine has asked for a pause. */
const pausedReason = "it has asked for a pause";
/** Refusal reasons that guarantee that the pass did not run; `cancelled` and `order` do not. */
const notRunReasons: ReadonlySet<string> = new Set(["leaving", "memory", "layers", "model"]);

/**
 * The connections of this node to one model engine. Passes added in the same turn of the event loop are sent as one
 * batch.
 *
 * When a pass exceeds its deadline, the engine is probed over a new connection. If the engine answers, the old
 * connections are replaced and the pass is sent again; the engine doesn't run it twice. If it doesn't answer, all
 * pending passes fail together, so that each of them need not wait for its own deadline.
 */
export class EngineConnection {
    private readonly options: EngineConnectionOptions;
    private readonly origin: string;
    private readonly deadline = PassDeadline.create();
    /** Passes without a result, by ID. */
    private readonly pendingPasses = new Map<number, PendingPass>();
    private readonly prefillWindow = PrefillWindow.create(maximumPrefillPositions);
    /** Passes of the next batch. */
    private nextBatch: PendingPass[] = [];
    private readonly pool: EnginePool;
    private readonly calls: EngineCalls;
    private nextId = 1;
    private readonly reachability: EngineReachability;
    private isClosed = false;

    private constructor(options: EngineConnectionOptions) {
        this.options = options;
        this.origin = `http://${options.address}`;
        this.pool = EnginePool.create(this.origin, options.clock, options.connect);
        this.calls = EngineCalls.create({
            endpoint: options.endpoint,
            getDispatcher: () => this.pool.getDispatcher(),
            onInstructions: instructions => options.onInstructions(options.endpoint, instructions),
        });
        this.reachability = EngineReachability.create({
            clock: options.clock,
            probe: () => this.probe(),
            onSilent: () => this.failAll("no response to a probe"),
        });
    }

    /** Creates the connection pool. Connections open with the first pass. */
    static create(options: EngineConnectionOptions): EngineConnection {
        return new EngineConnection(options);
    }

    /**
     * Runs one pass at the engine. If the engine has not answered for a while, it is probed at the same time, so that a
     * dead engine is detected before the deadline of the pass.
     * @param pass - The pass. Its `id` is assigned here.
     * @param positions - Number of positions that the pass covers, as far as known. The deadline depends on it.
     */
    runPass(pass: Omit<Pass, "id">, positions: number): Promise<Result<PassResult, PassFailure>> {
        if (this.isPaused()) {
            return Promise.resolve(Err(this.createFailure("refused", pausedReason)));
        }
        this.reachability.observeUse();
        return new Promise(resolve => {
            const pendingPass = createPendingPass({ ...pass, id: this.nextId++ }, positions, resolve);
            if (this.isClosed || this.reachability.isUnreachable()) {
                const reason = this.isClosed ? "closed" : "no response to a probe";
                pendingPass.settle(Err(this.createFailure("notSent", reason)));
                return;
            }
            this.pendingPasses.set(pendingPass.pass.id, pendingPass);
            if (positions > 1) {
                this.prefillWindow.add(pendingPass);
                this.enqueuePrefills();
                return;
            }
            this.enqueue(pendingPass);
        });
    }

    /**
     * Frees a sequence at the engine. Passes of the sequence that have not been sent yet fail immediately. Errors are
     * ignored, because the engine frees idle sequences itself.
     */
    async cancel(order: CancelOrder): Promise<void> {
        for (const pendingPass of this.pendingPasses.values()) {
            const { request, attempt } = pendingPass.pass;
            if (request === order.request && attempt === order.attempt && pendingPass.sentAt.length === 0) {
                this.settle(pendingPass, Err(this.createFailure("notSent", "cancelled")));
            }
        }
        if (!this.isPaused()) {
            await this.calls.cancel(order);
        }
    }

    /** Gets the status of the engine. */
    async getStatus(): Promise<Result<EngineStatus, PassFailure>> {
        const status = await this.calls.getStatus();
        if (status.ok) {
            this.reachability.observeAnswer();
        }
        return status;
    }

    /**
     * Sends an order. Returns the HTTP status: 200 if the engine accepted it, 409 if its fencing number is outdated.
     */
    sendOrder(order: EngineOrder): Promise<Result<number, PassFailure>> {
        return this.calls.sendOrder(order);
    }

    /**
     * Probes the engine over a new connection and returns whether it answers. Concurrent calls share one probe. If the probe
     * gets no response, all pending passes fail.
     */
    isAnswering(): Promise<boolean> {
        return this.reachability.probe();
    }

    /** Checks if the engine refused the connection of the last probe, so that its process has ended and its sequences are lost. */
    hasEnded(): boolean {
        return this.reachability.hasEnded();
    }

    /** Checks if this node recently sent a pass to the engine. */
    isInUse(): boolean {
        return this.reachability.isInUse();
    }

    /** Closes the connections and fails the pending passes. */
    async close(): Promise<void> {
        this.isClosed = true;
        for (const pendingPass of this.pendingPasses.values()) {
            this.settle(pendingPass, Err(this.createFailure("unreachable", "closed")));
        }
        await this.pool.destroy();
    }

    private isPaused(): boolean {
        return this.options.isPaused(this.options.endpoint);
    }

    private async probe(): Promise<ProbeOutcome> {
        const outcome = await probeEngine(this.origin, this.deadline.getProbeTimeout(), this.options.connect);
        if (outcome === "refused") {
            this.options.onConnectionRefused(this.options.endpoint);
        }
        return outcome;
    }

    private enqueuePrefills(): void {
        for (const pendingPass of this.prefillWindow.takeReady()) {
            this.enqueue(pendingPass);
        }
    }

    private enqueue(pendingPass: PendingPass): void {
        this.nextBatch.push(pendingPass);
        if (this.nextBatch.length === 1) {
            setImmediate(() => this.flush());
        }
    }

    private flush(): void {
        const batch = this.nextBatch.filter(pendingPass => this.pendingPasses.has(pendingPass.pass.id));
        this.nextBatch = [];
        if (this.isPaused()) {
            this.refusePasses(batch);
            return;
        }
        if (batch.length === 0) {
            return;
        }
        for (const pendingPass of batch) {
            this.startDeadline(pendingPass);
        }
        this.sendBatch(batch);
    }

    private startDeadline(pendingPass: PendingPass): void {
        const sends = pendingPass.sentAt.push(this.options.clock.getMonotonicTime());
        const deadlineMilliseconds = this.deadline.getDeadline(pendingPass.positions) * sends;
        const timer = this.options.clock.setTimer(
            deadlineMilliseconds,
            () => void this.handleDeadlineExceeded(pendingPass),
        );
        pendingPass.cancelTimer = () => timer.cancel();
    }

    private sendBatch(batch: PendingPass[]): void {
        const sends = new Map(batch.map(pendingPass => [pendingPass.pass.id, pendingPass.sentAt.length]));
        sendPassBatch({
            dispatcher: this.pool.getDispatcher(),
            passes: batch.map(pendingPass => pendingPass.pass),
            onInstructions: instructions => this.handleInstructions(batch, instructions),
            onResult: result => this.handleResult(result, sends.get(result.id)),
            onClosed: closing => this.handleBatchClosed(batch, sends, closing),
        });
    }

    /** An engine that refuses a batch and asks for a pause has run none of its passes. */
    private handleInstructions(batch: readonly PendingPass[], instructions: AnswerInstructions): void {
        this.options.onInstructions(this.options.endpoint, instructions);
        if (instructions.pauseMilliseconds === undefined) {
            return;
        }
        this.refusePasses(batch);
    }

    /** Fails passes that the engine has not run in their last send. An earlier send may have arrived. */
    private refusePasses(batch: readonly PendingPass[]): void {
        for (const pendingPass of batch) {
            if (this.pendingPasses.has(pendingPass.pass.id)) {
                const kind = pendingPass.mayHaveArrived ? "failed" : "refused";
                this.settle(pendingPass, Err(this.createFailure(kind, pausedReason)));
            }
        }
    }

    /** @param send - Number of the send that returned the result, from 1; undefined if the batch has no such pass. */
    private handleResult(result: PassResult, send: number | undefined): void {
        this.reachability.observeAnswer();
        const pendingPass = this.pendingPasses.get(result.id);
        if (pendingPass === undefined || send === undefined) {
            return;
        }
        if (result.outcome !== "done") {
            const reason = result.reason ?? result.outcome;
            const isGuaranteedNotRun = result.outcome === "refused" && notRunReasons.has(reason);
            this.settle(pendingPass, Err(this.createFailure(isGuaranteedNotRun ? "refused" : "failed", reason)));
            return;
        }
        const elapsedMilliseconds = this.options.clock.getMonotonicTime() - pendingPass.sentAt[send - 1]!;
        this.deadline.observe(result.count, elapsedMilliseconds);
        this.options.onAnswered(this.options.endpoint, pendingPass.pass, result, elapsedMilliseconds);
        this.settle(pendingPass, Ok(result));
    }

    /** Handles the end of a batch's response: passes without a result are sent again if the engine still answers. */
    private handleBatchClosed(
        batch: readonly PendingPass[],
        sends: ReadonlyMap<number, number>,
        closing: BatchCloseInfo,
    ): void {
        for (const pendingPass of batch) {
            const isCurrentSend = pendingPass.sentAt.length === sends.get(pendingPass.pass.id);
            if (isCurrentSend && this.pendingPasses.has(pendingPass.pass.id)) {
                pendingPass.mayHaveArrived ||= closing.mayHaveArrived;
                void this.resendOrFail(pendingPass, closing.reason);
            }
        }
    }

    private async handleDeadlineExceeded(pendingPass: PendingPass): Promise<void> {
        pendingPass.mayHaveArrived = true;
        const dispatcher = this.pool.getDispatcher();
        await this.resendOrFail(pendingPass, "no response before the deadline", () => {
            if (dispatcher === this.pool.getDispatcher()) {
                this.pool.replace();
                this.options.onSilentConnection(this.options.endpoint);
            }
        });
    }

    private async resendOrFail(pendingPass: PendingPass, reason: string, onAnswering?: () => void): Promise<void> {
        if (pendingPass.isBeingProbed) {
            return;
        }
        pendingPass.isBeingProbed = true;
        pendingPass.cancelTimer();
        const isAnswering = pendingPass.sentAt.length < maximumSends && await this.isAnswering();
        pendingPass.isBeingProbed = false;
        if (!this.pendingPasses.has(pendingPass.pass.id)) {
            return;
        }
        if (!isAnswering) {
            const kind = pendingPass.mayHaveArrived ? "unreachable" : "notSent";
            this.settle(pendingPass, Err(this.createFailure(kind, reason)));
            return;
        }
        onAnswering?.();
        this.enqueue(pendingPass);
    }

    private settle(pendingPass: PendingPass, outcome: Result<PassResult, PassFailure>): void {
        pendingPass.cancelTimer();
        this.pendingPasses.delete(pendingPass.pass.id);
        pendingPass.settle(outcome);
        if (pendingPass.positions > 1) {
            this.prefillWindow.remove(pendingPass);
            this.enqueuePrefills();
        }
    }

    private failAll(reason: string): void {
        for (const pendingPass of this.pendingPasses.values()) {
            const isInFlight = pendingPass.sentAt.length > 0 && !pendingPass.isBeingProbed;
            const mayHaveArrived = pendingPass.mayHaveArrived || isInFlight;
            this.settle(pendingPass, Err(this.createFailure(mayHaveArrived ? "unreachable" : "notSent", reason)));
        }
    }

    private createFailure(kind: PassFailure["kind"], reason: string): PassFailure {
        return createPassFailure(this.options.endpoint, kind, reason);
    }
}
