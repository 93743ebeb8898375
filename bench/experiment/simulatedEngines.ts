import type { UpstreamExchange } from "../../src/connection/upstream/upstreamExchange.ts";
import { UpstreamFailureKind } from "../../src/connection/upstream/upstreamFailureKind.ts";
import type { UpstreamListener } from "../../src/connection/upstream/upstreamListener.ts";
import type { Clock } from "../../src/process/clock.ts";
import { experimentModel as model } from "./experimentModel.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";
import type { SimulatedRun } from "./simulatedRun.ts";

/** What a sending asks for. */
interface SentRequest {
    requestId: string;
    /** Addresses of the chain's engines. */
    addresses: string[];
    promptTokens: number;
    /** Events of the whole answer. */
    events: number;
    /** Id of the last event that the caller has. */
    lastEvent: number;
}

const networkMilliseconds = 1;
/** A request waits for memory at its first stage at most this long, and is then refused. */
const engineWaitMilliseconds = 700;
/** Work that depends on a lost engine is cut off after this time. */
const stallMilliseconds = 3_000;
const connectTimeoutMilliseconds = 1_000;

/** The engines of an experiment: they read prompts, make events, run out of memory and are lost, as the platform's do. */
export class SimulatedEngines {
    /** Sendings that came, those refused, and requests given up in mid-stream for want of memory. */
    readonly counts = { sent: 0, refused: 0, preempted: 0 };
    private readonly clock: Clock;
    private readonly byAddress = new Map<string, SimulatedEngine>();

    private constructor(clock: Clock, engines: readonly SimulatedEngine[]) {
        this.clock = clock;
        for (const engine of engines) {
            this.byAddress.set(engine.endpoint.address, engine);
        }
    }

    /** Creates engines that run nothing. */
    static create(clock: Clock, engines: readonly SimulatedEngine[]): SimulatedEngines {
        return new SimulatedEngines(clock, engines);
    }

    /** Sends a request from a node to the first engine of its chain. */
    send(node: number, request: SentRequest, listener: UpstreamListener): UpstreamExchange {
        const engines = request.addresses.map(address => this.byAddress.get(address)!);
        const run: SimulatedRun = {
            requestId: request.requestId,
            engines,
            promptTokens: request.promptTokens + request.lastEvent * model.stepsOfPass,
            events: request.events,
            written: request.lastEvent,
            heldTokens: 0,
            listener,
            timer: undefined,
            hasHead: false,
        };
        let sentAt: number | undefined;
        this.counts.sent += 1;
        const first = engines[0]!;
        if (first.isLost || first.cutNodes.has(node)) {
            this.setTimer(
                run,
                connectTimeoutMilliseconds,
                () => listener.onFailure({ kind: UpstreamFailureKind.NotSent, message: "No connection." }),
            );
        }
        else {
            sentAt = this.clock.getMonotonicTime();
            this.setTimer(run, networkMilliseconds, () => this.admit(run));
        }
        return { abort: () => this.leave(run), getSentTime: () => sentAt };
    }

    /** Cuts off what depends on an engine that is lost. */
    loseEngine(engine: SimulatedEngine): void {
        engine.isLost = true;
        for (const run of [...engine.runs]) {
            this.setTimer(run, engine === run.engines[0] ? networkMilliseconds : stallMilliseconds, () => {
                this.leave(run);
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
        if (!first!.hasRoom(run.promptTokens)) {
            first!.waiting.push(run);
            this.setTimer(run, engineWaitMilliseconds, () => this.refuse(run, first!));
            return;
        }
        const full = rest.find(engine => !engine.hasRoom(run.promptTokens));
        if (full !== undefined) {
            this.refuse(run, full);
            return;
        }
        this.read(run);
    }

    private refuse(run: SimulatedRun, engine: SimulatedEngine): void {
        this.counts.refused += 1;
        this.leave(run);
        run.listener.onHead(503, { "at-server": engine.endpoint.address });
        run.listener.onEnd();
    }

    private read(run: SimulatedRun): void {
        let at = this.clock.getMonotonicTime();
        for (const engine of run.engines) {
            engine.runs.add(run);
            engine.usedTokenLayers += engine.getTokenLayers(run.promptTokens);
            at = engine.readPrompt(run.promptTokens, at) + networkMilliseconds;
        }
        run.heldTokens = run.promptTokens;
        this.setTimer(run, at - this.clock.getMonotonicTime(), () => this.writeEvent(run));
    }

    private writeEvent(run: SimulatedRun): void {
        for (const engine of run.engines) {
            engine.usedTokenLayers += engine.getTokenLayers(model.stepsOfPass);
        }
        run.heldTokens += model.stepsOfPass;
        run.written += 1;
        if (!run.hasHead) {
            run.hasHead = true;
            run.listener.onHead(200, {});
        }
        run.listener.onData(Buffer.from(`id: ${run.written}\ndata: x\n\n`));
        if (run.written >= run.events) {
            this.leave(run);
            run.listener.onEnd();
            return;
        }
        for (const engine of run.engines) {
            this.makeRoom(engine);
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
            const isCrossing = next !== undefined && next.endpoint.dataCentre !== engine.endpoint.dataCentre;
            time += engine.getEventMilliseconds() + (isCrossing ? model.stepsOfPass * model.crossingMilliseconds : 0);
        }
        return time;
    }

    /** Gives the newest requests up while an engine holds more than its memory. They are read again once there is room. */
    private makeRoom(engine: SimulatedEngine): void {
        while (engine.usedTokenLayers > engine.totalTokenLayers) {
            const newest = [...engine.runs].at(-1);
            if (newest === undefined) {
                return;
            }
            this.counts.preempted += 1;
            this.release(newest);
            newest.promptTokens = newest.promptTokens + newest.written * model.stepsOfPass;
            newest.engines[0]!.waiting.unshift(newest);
            newest.timer?.cancel();
        }
    }

    private leave(run: SimulatedRun): void {
        run.timer?.cancel();
        for (const engine of run.engines) {
            const at = engine.waiting.indexOf(run);
            if (at !== -1) {
                engine.waiting.splice(at, 1);
            }
        }
        this.release(run);
    }

    private release(run: SimulatedRun): void {
        for (const engine of run.engines) {
            if (engine.runs.delete(run)) {
                engine.usedTokenLayers -= engine.getTokenLayers(run.heldTokens);
            }
        }
        run.heldTokens = 0;
        for (const engine of this.byAddress.values()) {
            this.startWaiting(engine);
        }
    }

    private startWaiting(engine: SimulatedEngine): void {
        const [next] = engine.waiting;
        if (next !== undefined && next.engines.every(other => other.hasRoom(next.promptTokens))) {
            engine.waiting.shift();
            next.timer?.cancel();
            this.read(next);
        }
    }

    private setTimer(run: SimulatedRun, milliseconds: number, callback: () => void): void {
        run.timer?.cancel();
        run.timer = this.clock.setTimer(milliseconds, callback);
    }
}
