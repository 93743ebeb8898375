import type { Clock, TimerHandle } from "../../src/process/clock.ts";
import type { RandomSource } from "../../src/process/randomSource.ts";
import type { AnswerSink } from "../../src/request/relay/answerSink.ts";
import type { RelayRefusal } from "../../src/request/relay/relayRefusal.ts";
import type { SimulatedRequest } from "./simulatedRequest.ts";

/** Options of a {@link SimulatedCaller}. */
interface SimulatedCallerOptions {
    clock: Clock;
    random: RandomSource;
    request: SimulatedRequest;
    /** Sends the request to some node. */
    send(request: SimulatedRequest, attempt: number, deadlineMilliseconds: number, sink: AnswerSink): void;
    onDone(outcome: CallerOutcome): void;
}

/** How it ended for a caller. */
export interface CallerOutcome {
    sentAt: number;
    kind: "inAim" | "late" | "refused" | "failed";
    /** Time to the first event from the first sending, in milliseconds; undefined where none came. */
    firstEventMilliseconds: number | undefined;
    /** Whether it was turned away at first. */
    wasRefused: boolean;
}

const objectiveMilliseconds = 500;
const longestGapMilliseconds = 200;
/** A caller leaves a stream after this time without an event. */
const leaveMilliseconds = 2_000;
/** Callers wait for a time to come back of up to this part of what they have left. */
const returnPart = 1 / 3;
const mostAttempts = 2;

/** A caller: sends a request, comes back once where it is turned away, and leaves where events stay away. */
export class SimulatedCaller {
    private readonly options: SimulatedCallerOptions;
    private readonly sentAt: number;
    private readonly endsAt: number;
    private attempts = 0;
    private firstEventAt: number | undefined;
    private lastEventAt = 0;
    private longestGap = 0;
    private timer: TimerHandle | undefined;

    private constructor(options: SimulatedCallerOptions) {
        this.options = options;
        this.sentAt = options.clock.getMonotonicTime();
        this.endsAt = this.sentAt + options.request.deadlineMilliseconds;
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
        const isPresent = () => attempt === this.attempts;
        this.watch(() => {
            close();
            this.end("failed");
        });
        send(request, attempt, Math.floor(this.endsAt - clock.getMonotonicTime()), {
            onClosed: callback => {
                close = callback;
            },
            writeHead: () => undefined,
            write: () => isPresent() && this.takeEvent(() => close()),
            end: () => isPresent() && this.end(this.isInAim() ? "inAim" : "late"),
            refuse: refusal => isPresent() && this.takeRefusal(refusal),
            cut: () => isPresent() && this.end("failed"),
        });
    }

    private takeEvent(close: () => void): void {
        const now = this.options.clock.getMonotonicTime();
        if (this.firstEventAt === undefined) {
            this.firstEventAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.watch(() => {
            close();
            this.end("failed");
        });
    }

    private takeRefusal({ retryAfterMilliseconds }: RelayRefusal): void {
        const { clock, random, request } = this.options;
        if (retryAfterMilliseconds === undefined || this.attempts >= mostAttempts) {
            this.end(retryAfterMilliseconds === undefined ? "failed" : "refused");
            return;
        }
        const isImpatient = random() < request.impatientPart;
        const longest = (this.endsAt - clock.getMonotonicTime()) * returnPart;
        this.timer?.cancel();
        this.timer = clock.setTimer(isImpatient ? 0 : Math.min(retryAfterMilliseconds, longest), () => this.send());
    }

    private isInAim(): boolean {
        const first = (this.firstEventAt ?? Infinity) - this.sentAt;
        return first <= objectiveMilliseconds && this.longestGap <= longestGapMilliseconds;
    }

    private watch(onSilent: () => void): void {
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(leaveMilliseconds, onSilent);
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
