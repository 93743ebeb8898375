import { PathState } from "../../src/connection/upstream/path/pathState.ts";
import type { UpstreamExchange } from "../../src/connection/upstream/upstreamExchange.ts";
import { UpstreamFailureKind } from "../../src/connection/upstream/upstreamFailureKind.ts";
import type { UpstreamListener } from "../../src/connection/upstream/upstreamListener.ts";
import type { Clock } from "../../src/process/clock.ts";
import { experimentModel as model } from "./experimentModel.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";
import type { SimulatedRun } from "./simulatedRun.ts";

/** One attempt of a request, as a node sends it. */
interface SentRequest {
    requestId: string;
    /** Addresses of the chain's engines. */
    addresses: string[];
    promptTokens: number;
    /** Events of the complete answer. */
    events: number;
    /** Id of the last event that the caller received. */
    lastEvent: number;
}

const networkMilliseconds = 1;
/** Time that a request waits for memory at its first stage before it is refused. */
const memoryWaitMilliseconds = 700;
/** Time after which a request that depends on a lost engine is aborted. */
const stallMilliseconds = 3_000;
const connectTimeoutMilliseconds = 1_000;

/** Engines that prefill prompts, generate events, run out of memory and fail, as those of the platform do. */
export class SimulatedEngines {
    /** Attempts sent, attempts refused, and preemptions in mid-stream for lack of memory. */
    readonly counts = { sent: 0, refused: 0, preempted: 0 };
    private readonly clock: Clock;
    private readonly byAddress = new Map<string, SimulatedEngine>();

    private constructor(clock: Clock, engines: readonly SimulatedEngine[]) {
        this.clock = clock;
        for (const engine of engines) {
            this.byAddress.set(engine.endpoint.address, engine);
        }
    }

    /** Creates a simulation of idle engines. */
    static create(clock: Clock, engines: readonly SimulatedEngine[]): SimulatedEngines {
        return new SimulatedEngines(clock, engines);
    }

    /** Sends a request from a node to the first engine of its chain. */
    send(node: number, request: SentRequest, listener: UpstreamListener): UpstreamExchange {
        const engines = request.addresses.map(address => this.byAddress.get(address)!);
        const run: SimulatedRun = {
            requestId: request.requestId,
            engines,
            promptTokens: request.promptTokens + request.lastEvent * model.stepsPerPass,
            events: request.events,
            writtenEvents: request.lastEvent,
            heldTokens: 0,
            listener,
            timer: undefined,
            hasHead: false,
        };
        let sentAt: number | undefined;
        this.counts.sent += 1;
        const first = engines[0]!;
        if (first.isLost || first.disconnectedNodes.has(node)) {
            this.setTimer(
                run,
                connectTimeoutMilliseconds,
                () => listener.onFailure({ kind: UpstreamFailureKind.NotSent, message: "The connection timed out." }),
            );
        }
        else {
            sentAt = this.clock.getMonotonicTime();
            this.setTimer(run, networkMilliseconds, () => this.admit(run));
        }
        return {
            abort: () => this.removeRun(run),
            pause: () => undefined,
            resume: () => undefined,
            getSentTime: () => sentAt,
            getPeer: () => undefined,
            isPathLost: () => false,
            testPath: onDone => onDone(PathState.Down),
        };
    }

    /** Marks an engine as lost and aborts the runs that depend on it. */
    loseEngine(engine: SimulatedEngine): void {
        engine.isLost = true;
        for (const run of [...engine.runs]) {
            this.setTimer(run, engine === run.engines[0] ? networkMilliseconds : stallMilliseconds, () => {
                this.removeRun(run);
                run.listener.onFailure({ kind: UpstreamFailureKind.Broken, message: "The connection was reset." });
            });
        }
    }

    private admit(run: SimulatedRun): void {
        const [first, ...rest] = run.engines;
        if (rest.some(({ isLost }) => isLost)) {
            this.setTimer(run, stallMilliseconds, () => this.refuse(run, rest.find(({ isLost }) => isLost)!));
            return;
        }
        if (!first!.hasFreeSlot() || !first!.hasFreeMemory(run.promptTokens)) {
            first!.waiting.push(run);
            this.setTimer(run, memoryWaitMilliseconds, () => this.refuse(run, first!));
            return;
        }
        const full = rest.find(engine => !engine.hasFreeMemory(run.promptTokens));
        if (full !== undefined) {
            this.refuse(run, full);
            return;
        }
        this.startPrefill(run);
    }

    private refuse(run: SimulatedRun, engine: SimulatedEngine): void {
        this.counts.refused += 1;
        this.removeRun(run);
        run.listener.onHead(503, { "at-server": engine.endpoint.address });
        run.listener.onEnd();
    }

    private startPrefill(run: SimulatedRun): void {
        let prefilledAt = this.clock.getMonotonicTime();
        for (const engine of run.engines) {
            engine.runs.add(run);
            engine.usedTokenLayers += engine.getTokenLayers(run.promptTokens);
            prefilledAt = engine.prefill(run.promptTokens, prefilledAt) + networkMilliseconds;
        }
        run.heldTokens = run.promptTokens;
        this.setTimer(run, prefilledAt - this.clock.getMonotonicTime(), () => this.writeEvent(run));
    }

    private writeEvent(run: SimulatedRun): void {
        for (const engine of run.engines) {
            engine.usedTokenLayers += engine.getTokenLayers(model.stepsPerPass);
        }
        run.heldTokens += model.stepsPerPass;
        run.writtenEvents += 1;
        if (!run.hasHead) {
            run.hasHead = true;
            run.listener.onHead(200, {});
        }
        run.listener.onData(Buffer.from(`id: ${run.writtenEvents}\ndata: x\n\n`));
        if (run.writtenEvents >= run.events) {
            this.removeRun(run);
            run.listener.onEnd();
            return;
        }
        for (const engine of run.engines) {
            this.preemptRuns(engine);
        }
        if (run.engines[0]!.runs.has(run)) {
            this.setTimer(run, this.getEventMilliseconds(run), () => this.writeEvent(run));
        }
    }

    private getEventMilliseconds(run: SimulatedRun): number {
        if (run.engines.some(({ isLost }) => isLost)) {
            return stallMilliseconds;
        }
        let time = 0;
        for (const [index, engine] of run.engines.entries()) {
            const next = run.engines[index + 1];
            const usesLink = next !== undefined && next.endpoint.dataCentre !== engine.endpoint.dataCentre;
            time += engine.getEventMilliseconds() + (usesLink ? model.stepsPerPass * model.linkDelayMilliseconds : 0);
        }
        return time;
    }

    /** Preempts the newest runs while an engine exceeds its memory. They are prefilled again once there is memory. */
    private preemptRuns(engine: SimulatedEngine): void {
        while (engine.usedTokenLayers > engine.totalTokenLayers) {
            const newest = [...engine.runs].at(-1);
            if (newest === undefined) {
                return;
            }
            this.counts.preempted += 1;
            this.releaseMemory(newest);
            newest.promptTokens = newest.promptTokens + newest.writtenEvents * model.stepsPerPass;
            newest.engines[0]!.waiting.unshift(newest);
            newest.timer?.cancel();
        }
    }

    private removeRun(run: SimulatedRun): void {
        run.timer?.cancel();
        for (const engine of run.engines) {
            const index = engine.waiting.indexOf(run);
            if (index !== -1) {
                engine.waiting.splice(index, 1);
            }
        }
        this.releaseMemory(run);
    }

    private releaseMemory(run: SimulatedRun): void {
        for (const engine of run.engines) {
            if (engine.runs.delete(run)) {
                engine.usedTokenLayers -= engine.getTokenLayers(run.heldTokens);
            }
        }
        run.heldTokens = 0;
        for (const engine of this.byAddress.values()) {
            this.startNextWaiting(engine);
        }
    }

    private startNextWaiting(engine: SimulatedEngine): void {
        const [next] = engine.waiting;
        if (
            next !== undefined && engine.hasFreeSlot()
            && next.engines.every(other => other.hasFreeMemory(next.promptTokens))
        ) {
            engine.waiting.shift();
            next.timer?.cancel();
            this.startPrefill(next);
        }
    }

    private setTimer(run: SimulatedRun, milliseconds: number, callback: () => void): void {
        run.timer?.cancel();
        run.timer = this.clock.setTimer(milliseconds, callback);
    }
}
