import type { Clock, TimerHandle } from "../../src/process/clock.ts";
import type { RandomSource } from "../../src/process/randomSource.ts";
import type { AnswerSink } from "../../src/request/relay/answers/answerSink.ts";
import type { RelayRefusal } from "../../src/request/relay/answers/relayRefusal.ts";
import type { SimulatedRequest } from "./simulatedRequest.ts";

/** Options of a {@link SimulatedCaller}. */
interface SimulatedCallerOptions {
    clock: Clock;
    random: RandomSource;
    request: SimulatedRequest;
    /** Sends the request to a node. */
    send(request: SimulatedRequest, attempt: number, deadlineMilliseconds: number, sink: AnswerSink): void;
    onDone(outcome: CallerOutcome): void;
}

/** Outcome of a caller's request. */
export interface CallerOutcome {
    sentAt: number;
    kind: "inAim" | "late" | "refused" | "failed";
    /** Time from the first attempt to the first event, in milliseconds; undefined if there was none. */
    firstEventMilliseconds: number | undefined;
    /** Whether the first attempt was refused. */
    wasRefused: boolean;
}

const maximumEventGapMilliseconds = 200;
/** Minimum time without an event after which a caller closes its stream, and the minimum as a multiple of its objective. */
const minimumSilenceMilliseconds = 2_000;
const silencePerObjective = 4;
/** Largest part of its remaining time that a caller waits before a retry. */
const maximumRetryDelayFraction = 1 / 3;
const maximumAttempts = 2;

/** A caller that sends a request, retries once after a refusal, and closes the stream if no events arrive. */
export class SimulatedCaller {
    private readonly options: SimulatedCallerOptions;
    private readonly sentAt: number;
    private readonly deadlineAt: number;
    private attempts = 0;
    private firstEventAt: number | undefined;
    private lastEventAt = 0;
    private longestGap = 0;
    private timer: TimerHandle | undefined;

    private constructor(options: SimulatedCallerOptions) {
        this.options = options;
        this.sentAt = options.clock.getMonotonicTime();
        this.deadlineAt = this.sentAt + options.request.deadlineMilliseconds;
    }

    /** Sends the request. */
    static start(options: SimulatedCallerOptions): void {
        new SimulatedCaller(options).send();
    }

    private send(): void {
        const { clock, request, send } = this.options;
        this.attempts += 1;
        const attempt = this.attempts;
        let close: () => void = () => undefined;
        const isCurrent = () => attempt === this.attempts;
        this.restartSilenceTimer(() => {
            close();
            this.end("failed");
        });
        send(request, attempt, Math.floor(this.deadlineAt - clock.getMonotonicTime()), {
            onClosed: callback => {
                close = callback;
            },
            writeHead: () => undefined,
            write: () => isCurrent() && this.handleEvent(() => close()),
            end: () => isCurrent() && this.end(this.meetsObjectives() ? "inAim" : "late"),
            refuse: refusal => isCurrent() && this.handleRefusal(refusal),
            abort: () => isCurrent() && this.end("failed"),
        });
    }

    private handleEvent(close: () => void): void {
        const now = this.options.clock.getMonotonicTime();
        if (this.firstEventAt === undefined) {
            this.firstEventAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.restartSilenceTimer(() => {
            close();
            this.end("failed");
        });
    }

    private handleRefusal({ retryAfterMilliseconds }: RelayRefusal): void {
        const { clock, random, request } = this.options;
        if (retryAfterMilliseconds === undefined || this.attempts >= maximumAttempts) {
            this.end(retryAfterMilliseconds === undefined ? "failed" : "refused");
            return;
        }
        const isImpatient = random() < request.immediateRetryProbability;
        const maximumDelay = (this.deadlineAt - clock.getMonotonicTime()) * maximumRetryDelayFraction;
        this.timer?.cancel();
        this.timer = clock.setTimer(
            isImpatient ? 0 : Math.min(retryAfterMilliseconds, maximumDelay),
            () => this.send(),
        );
    }

    private meetsObjectives(): boolean {
        const first = (this.firstEventAt ?? Infinity) - this.sentAt;
        return first <= this.options.request.targetLatencyMilliseconds
            && this.longestGap <= maximumEventGapMilliseconds;
    }

    private restartSilenceTimer(onSilent: () => void): void {
        this.timer?.cancel();
        const { clock, request } = this.options;
        const milliseconds = Math.max(
            minimumSilenceMilliseconds,
            silencePerObjective * request.targetLatencyMilliseconds,
        );
        this.timer = clock.setTimer(milliseconds, onSilent);
    }

    private end(kind: CallerOutcome["kind"]): void {
        this.timer?.cancel();
        const first = this.firstEventAt;
        this.options.onDone({
            sentAt: this.sentAt,
            kind,
            firstEventMilliseconds: first === undefined ? undefined : first - this.sentAt,
            wasRefused: this.attempts > 1 || kind === "refused",
        });
        this.attempts += 1;
    }
}
