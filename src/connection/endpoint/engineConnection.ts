import type { Clock } from "../../process/clock.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { BatchClosing } from "./batchClosing.ts";
import { createPassFailure } from "./createPassFailure.ts";
import { EngineCalls } from "./engineCalls.ts";
import { EnginePool } from "./enginePool.ts";
import type { CancelOrder, EngineOrder, EngineStatus, Pass, PassResult } from "./engineProtocol.ts";
import { EngineReachability } from "./engineReachability.ts";
import { HopDeadline } from "./hopDeadline.ts";
import type { PassFailure } from "./passFailure.ts";
import { PrefillWindow } from "./prefillWindow.ts";
import { probeEngine } from "./probeEngine.ts";
import { sendPassBatch } from "./sendPassBatch.ts";
import type { WaitingPass } from "./waitingPass.ts";

/** Options of an {@link EngineConnection}. */
export interface EngineConnectionOptions {
    endpoint: string;
    /** host:port. */
    address: string;
    clock: Clock;
    /** Called for each pass that was answered, with the time that it took in milliseconds. */
    onAnswered(endpoint: string, pass: Pass, result: PassResult, elapsedMilliseconds: number): void;
    /** Called when a connection has gone silent while new ones work, and is replaced. */
    onSilentConnection(endpoint: string): void;
}

/** Sends of one pass, the first included, before the endpoint is given up. */
const maximumSends = 4;
/** Positions of long passes on their way to the engine. Measured in docs/design/recovery.md. */
const prefillPositions = 256;
/** Reasons of a refusal that prove that the pass did not run; `cancelled` and `order` do not. */
const notRunReasons: ReadonlySet<string> = new Set(["leaving", "memory", "layers", "model"]);

/**
 * The connections of this node to one model engine. Passes handed over in one turn of the event loop leave in one batch.
 * A pass that is overdue makes the connection doubtful: the engine is probed over a new connection. If it answers, the
 * old connections are replaced and the pass is sent again, which the engine does not run twice; if not, all passes that
 * wait for the engine fail together, so that one pass finds out for all.
 */
export class EngineConnection {
    private readonly options: EngineConnectionOptions;
    private readonly origin: string;
    private readonly deadline = HopDeadline.create();
    private readonly waiting = new Map<number, WaitingPass>();
    private readonly prefillWindow = PrefillWindow.create(prefillPositions);
    private outgoing: WaitingPass[] = [];
    private readonly pool: EnginePool;
    private readonly calls: EngineCalls;
    private nextId = 1;
    private readonly reachability: EngineReachability;
    private isClosed = false;

    private constructor(options: EngineConnectionOptions) {
        this.options = options;
        this.origin = `http://${options.address}`;
        this.pool = EnginePool.create(this.origin, options.clock);
        this.calls = EngineCalls.create({
            endpoint: options.endpoint,
            getDispatcher: () => this.pool.getDispatcher(),
        });
        this.reachability = EngineReachability.create({
            clock: options.clock,
            probe: () => probeEngine(this.origin, this.deadline.getProbeTimeout()),
            onSilent: () => this.failAll("no answer to a probe"),
        });
    }

    /** Creates the connections; nothing is opened before the first pass. */
    static create(options: EngineConnectionOptions): EngineConnection {
        return new EngineConnection(options);
    }

    /**
     * Runs one pass at the engine. Where the engine has not answered for a while, a probe goes with it, so that a dead
     * one shows before the first deadline.
     * @param pass - The pass; its `id` is chosen here.
     * @param positions - Positions that the pass covers, as far as known; the deadline depends on it.
     */
    runPass(pass: Omit<Pass, "id">, positions: number): Promise<Result<PassResult, PassFailure>> {
        this.reachability.observeUse();
        return new Promise(resolve => {
            const waitingPass = this.createWaitingPass({ ...pass, id: this.nextId++ }, positions, resolve);
            if (this.isClosed || this.reachability.isUnreachable()) {
                const reason = this.isClosed ? "closed" : "no answer to a probe";
                waitingPass.settle(Err(this.createFailure("notSent", reason)));
                return;
            }
            this.waiting.set(waitingPass.pass.id, waitingPass);
            if (positions > 1) {
                this.prefillWindow.add(waitingPass);
                this.enqueuePrefills();
                return;
            }
            this.enqueue(waitingPass);
        });
    }

    /**
     * Frees a sequence at the engine; a failure is of no consequence, since idle sequences lapse there. A pass of the
     * sequence that has not left yet fails at once.
     */
    async cancel(order: CancelOrder): Promise<void> {
        for (const waitingPass of this.waiting.values()) {
            const { request, attempt } = waitingPass.pass;
            if (request === order.request && attempt === order.attempt && waitingPass.sentAt.length === 0) {
                this.settle(waitingPass, Err(this.createFailure("notSent", "cancelled")));
            }
        }
        await this.calls.cancel(order);
    }

    /** Reads the engine's status. */
    async getStatus(): Promise<Result<EngineStatus, PassFailure>> {
        const status = await this.calls.getStatus();
        if (status.ok) {
            this.reachability.observeAnswer();
        }
        return status;
    }

    /** Sends an order; the status code tells whether the engine took it (200) or found its number old (409). */
    sendOrder(order: EngineOrder): Promise<Result<number, PassFailure>> {
        return this.calls.sendOrder(order);
    }

    /**
     * Probes the engine over a new connection. Probes that come while one runs share its answer. Where there is none,
     * all passes that wait fail.
     */
    isAnswering(): Promise<boolean> {
        return this.reachability.probe();
    }

    /** Tells whether this node gave the engine a pass not long ago. */
    isInUse(): boolean {
        return this.reachability.isInUse();
    }

    /** Closes the connections; passes that wait fail. */
    async close(): Promise<void> {
        this.isClosed = true;
        for (const waitingPass of this.waiting.values()) {
            this.settle(waitingPass, Err(this.createFailure("unreachable", "closed")));
        }
        await this.pool.destroy();
    }

    private createWaitingPass(
        pass: Pass,
        positions: number,
        settle: (outcome: Result<PassResult, PassFailure>) => void,
    ): WaitingPass {
        return {
            pass,
            positions,
            sentAt: [],
            mayHaveArrived: false,
            isDoubtful: false,
            settle,
            cancelTimer: () => undefined,
        };
    }

    private enqueuePrefills(): void {
        for (const waitingPass of this.prefillWindow.takeReady()) {
            this.enqueue(waitingPass);
        }
    }

    private enqueue(waitingPass: WaitingPass): void {
        this.outgoing.push(waitingPass);
        if (this.outgoing.length === 1) {
            setImmediate(() => this.flush());
        }
    }

    private flush(): void {
        const batch = this.outgoing.filter(waitingPass => this.waiting.has(waitingPass.pass.id));
        this.outgoing = [];
        if (batch.length === 0) {
            return;
        }
        for (const waitingPass of batch) {
            this.startDeadline(waitingPass);
        }
        this.sendBatch(batch);
    }

    private startDeadline(waitingPass: WaitingPass): void {
        const sends = waitingPass.sentAt.push(this.options.clock.getMonotonicTime());
        const deadlineMilliseconds = this.deadline.getDeadline(waitingPass.positions) * sends;
        const timer = this.options.clock.setTimer(deadlineMilliseconds, () => void this.handleOverdue(waitingPass));
        waitingPass.cancelTimer = () => timer.cancel();
    }

    private sendBatch(batch: WaitingPass[]): void {
        const sends = new Map(batch.map(waitingPass => [waitingPass.pass.id, waitingPass.sentAt.length]));
        sendPassBatch({
            pool: this.pool.getDispatcher(),
            passes: batch.map(waitingPass => waitingPass.pass),
            onResult: result => this.handleResult(result, sends.get(result.id)),
            onClosed: closing => this.handleBatchClosed(batch, sends, closing),
        });
    }

    /** @param send - Which send of the pass brought the result, from 1; undefined where its batch had no such pass. */
    private handleResult(result: PassResult, send: number | undefined): void {
        this.reachability.observeAnswer();
        const waitingPass = this.waiting.get(result.id);
        if (waitingPass === undefined || send === undefined) {
            return;
        }
        if (result.outcome !== "done") {
            const reason = result.reason ?? result.outcome;
            const isSurelyNotRun = result.outcome === "refused" && notRunReasons.has(reason);
            this.settle(waitingPass, Err(this.createFailure(isSurelyNotRun ? "refused" : "failed", reason)));
            return;
        }
        const elapsedMilliseconds = this.options.clock.getMonotonicTime() - waitingPass.sentAt[send - 1]!;
        this.deadline.observe(result.count, elapsedMilliseconds);
        this.options.onAnswered(this.options.endpoint, waitingPass.pass, result, elapsedMilliseconds);
        this.settle(waitingPass, Ok(result));
    }

    /** The answer of a batch has ended: passes without a result are sent again, if the engine still answers. */
    private handleBatchClosed(
        batch: readonly WaitingPass[],
        sends: ReadonlyMap<number, number>,
        closing: BatchClosing,
    ): void {
        for (const waitingPass of batch) {
            const isCurrentSend = waitingPass.sentAt.length === sends.get(waitingPass.pass.id);
            if (isCurrentSend && this.waiting.has(waitingPass.pass.id)) {
                waitingPass.mayHaveArrived ||= closing.mayHaveArrived;
                void this.resendOrFail(waitingPass, closing.reason);
            }
        }
    }

    private async handleOverdue(waitingPass: WaitingPass): Promise<void> {
        waitingPass.mayHaveArrived = true;
        const dispatcher = this.pool.getDispatcher();
        await this.resendOrFail(waitingPass, "no answer in time", () => {
            if (dispatcher === this.pool.getDispatcher()) {
                this.pool.replace();
                this.options.onSilentConnection(this.options.endpoint);
            }
        });
    }

    private async resendOrFail(waitingPass: WaitingPass, reason: string, onAnswering?: () => void): Promise<void> {
        if (waitingPass.isDoubtful) {
            return;
        }
        waitingPass.isDoubtful = true;
        waitingPass.cancelTimer();
        const isAnswering = waitingPass.sentAt.length < maximumSends && await this.isAnswering();
        waitingPass.isDoubtful = false;
        if (!this.waiting.has(waitingPass.pass.id)) {
            return;
        }
        if (!isAnswering) {
            const kind = waitingPass.mayHaveArrived ? "unreachable" : "notSent";
            this.settle(waitingPass, Err(this.createFailure(kind, reason)));
            return;
        }
        onAnswering?.();
        this.enqueue(waitingPass);
    }

    private settle(waitingPass: WaitingPass, outcome: Result<PassResult, PassFailure>): void {
        waitingPass.cancelTimer();
        this.waiting.delete(waitingPass.pass.id);
        waitingPass.settle(outcome);
        if (waitingPass.positions > 1) {
            this.prefillWindow.remove(waitingPass);
            this.enqueuePrefills();
        }
    }

    private failAll(reason: string): void {
        for (const waitingPass of this.waiting.values()) {
            const isOnItsWay = waitingPass.sentAt.length > 0 && !waitingPass.isDoubtful;
            const mayHaveArrived = waitingPass.mayHaveArrived || isOnItsWay;
            this.settle(waitingPass, Err(this.createFailure(mayHaveArrived ? "unreachable" : "notSent", reason)));
        }
    }

    private createFailure(kind: PassFailure["kind"], reason: string): PassFailure {
        return createPassFailure(this.options.endpoint, kind, reason);
    }
}
