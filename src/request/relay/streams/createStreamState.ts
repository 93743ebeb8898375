import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { AttemptLimit } from "../attemptLimit.ts";
import { RelayChains } from "../chains/relayChains.ts";
import { PossibleRuns } from "../possibleRuns.ts";
import { TaskQuarantine } from "../quarantine/taskQuarantine.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { ChainReplacement } from "./chainReplacement.ts";
import { ResumePacing } from "./resumePacing.ts";
import { RunningAttempts } from "./runningAttempts.ts";
import { StreamAnswer } from "./streamAnswer.ts";
import { StreamFlowControl } from "./streamFlowControl.ts";
import { StreamLogger } from "./streamLogger.ts";
import { StreamProgress } from "./streamProgress.ts";
import type { StreamState } from "./streamState.ts";

/** Creates the state of a request that was not sent yet. */
export function createStreamState(environment: RelayEnvironment, task: RelayTask, model: EngineModel): StreamState {
    const runs = PossibleRuns.create(environment.ends, task.route.maximumAttempts);
    const chains = RelayChains.create(environment, task, model, runs);
    const attemptLimit = AttemptLimit.create();
    const quarantine = TaskQuarantine.create(environment, task);
    const attempts = RunningAttempts.create();
    const progress = StreamProgress.create(task.request.lastEventId, task.request.maximumAnswerTokens);
    return {
        environment,
        task,
        chains,
        runs,
        attempts,
        attemptLimit,
        pacing: ResumePacing.create(),
        quarantine,
        replacement: ChainReplacement.create({ environment, task, chains, attemptLimit, quarantine }),
        progress,
        answer: StreamAnswer.create(task.sink),
        flowControl: StreamFlowControl.create({ sink: task.sink, attempts, clock: environment.clock }),
        logger: StreamLogger.create(environment, task, progress),
        avoided: new Set(),
    };
}
