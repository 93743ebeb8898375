import type { UpstreamExchange } from "../../../connection/upstream/upstreamExchange.ts";
import type { UpstreamFailure } from "../../../connection/upstream/upstreamFailure.ts";
import { UpstreamFailureKind } from "../../../connection/upstream/upstreamFailureKind.ts";
import type { UpstreamRequest } from "../../../connection/upstream/upstreamRequest.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import { getUrgency } from "../../admission/ranks/getUrgency.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import { guardListener } from "../guardListener.ts";
import { getLatestOnTimeStart } from "../queue/getLatestOnTimeStart.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { RequestGuard } from "../requestGuard.ts";
import { getFaultyEndpoint } from "./getFaultyEndpoint.ts";
import type { StreamAnswerEnd } from "./streamAnswerEnd.ts";
import { StreamAnswerReader } from "./streamAnswerReader.ts";
import type { StreamEvent } from "./streamEvent.ts";

/** Options of {@link sendStream}. */
interface SendStreamOptions {
    environment: RelayEnvironment;
    task: RelayTask;
    stages: RelayStage[];
    guard: RequestGuard;
    /** Gets the id of the last event that the caller has; 0 if none. */
    getLastEventId(): number;
    /** Checks if a part of the answer was written to the caller. */
    isAnswerBegun(): boolean;
    /** Checks if the answer may be whole without any event, since the caller may have received all of them. */
    mayBeEmpty(): boolean;
    /** Called with each event of a successful answer, in order. */
    onEvent(event: StreamEvent, head: AnswerHead): void;
    /** Called once with how the answer ended, unless the connection fails. */
    onEnd(end: StreamAnswerEnd): void;
    /** Called once if the connection fails. */
    onFailure(failure: UpstreamFailure): void;
}

const account = ProcessorAccount.ofProcess;

/** Sends a streamed request to the first stage of a chain and reads its answer. */
export function sendStream(options: SendStreamOptions): UpstreamExchange {
    const { environment, task, stages, guard, mayBeEmpty, onEvent, onEnd, onFailure } = options;
    const { protocol, pools, instructions } = environment;
    const { endpoint } = stages[0]!;
    const reader = StreamAnswerReader.create({
        protocol,
        requestId: task.request.id,
        mayBeEmpty,
        onHead: head => noteHead(options, head),
        onEvent,
        onEnd,
    });
    const listener = guardListener(guard, {
        onHead: (status, headers) =>
            account.runPart(ProcessorCause.StreamHead, () => reader.handleHead(status, headers)),
        getBodyBounds: () => reader.getBodyBounds(),
        onData: chunk => account.runPart(ProcessorCause.StreamEvent, () => reader.handleData(chunk)),
        onEnd: () => account.run(ProcessorCause.StreamEnd, () => reader.handleEnd()),
        onFailure: failure =>
            account.run(ProcessorCause.StreamEnd, () => {
                // What follows the head of a refusal doesn't matter.
                if (failure.kind === UpstreamFailureKind.Invalid && reader.hasRefusal()) {
                    reader.handleEnd();
                    return;
                }
                onFailure(failure);
            }),
        maySend: () => instructions.maySend(endpoint.id),
    });
    return pools.getPool(endpoint.address).sendForCaller(() => createRequest(options), listener);
}

function createRequest(
    { environment, task, stages, getLastEventId, isAnswerBegun }: SendStreamOptions,
): UpstreamRequest {
    const { request, customer, dueAt, rank, ranks } = task;
    const now = environment.clock.getMonotonicTime();
    // The caller of a stream that has begun notices each pause, so it still counts as on time.
    const isOnTime = isAnswerBegun() || now <= getLatestOnTimeStart(environment, task);
    return environment.protocol.createRequest(request, {
        endpoint: stages[0]!.endpoint,
        customer,
        remainingMilliseconds: dueAt - now,
        stages,
        lastEventId: getLastEventId(),
        urgency: getUrgency(rank, ranks, isOnTime),
    });
}

/** Applies what the head of an answer says of its endpoints. */
function noteHead({ environment, task, stages }: SendStreamOptions, head: AnswerHead): void {
    const { limits, instructions, clock } = environment;
    const { endpoint } = stages[0]!;
    const answerTo = task.request.id;
    limits.noteAnswer(endpoint.id, head.requestsPerSecond, clock.getMonotonicTime());
    instructions.noteAnswer({ endpointId: endpoint.id, instructions: head.instructions, answerTo });
    const { pauseMilliseconds } = head.instructions;
    const faulty = getFaultyEndpoint(stages, head.faultyAddress);
    if (pauseMilliseconds !== undefined && faulty.id !== endpoint.id) {
        // The pause may be that of a later stage, whose refusal the first stage passes on.
        const pause = { isLeaving: false, pauseMilliseconds };
        instructions.noteAnswer({ endpointId: faulty.id, instructions: pause, answerTo });
    }
}
