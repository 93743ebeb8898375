import type { AttemptLimit } from "../attemptLimit.ts";
import type { RelayChains } from "../chains/relayChains.ts";
import type { PossibleRuns } from "../possibleRuns.ts";
import type { TaskQuarantine } from "../quarantine/taskQuarantine.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { ChainReplacement } from "./chainReplacement.ts";
import type { ResumePacing } from "./resumePacing.ts";
import type { RunningAttempts } from "./runningAttempts.ts";
import type { StreamAnswer } from "./streamAnswer.ts";
import type { StreamFlowControl } from "./streamFlowControl.ts";
import type { StreamLogger } from "./streamLogger.ts";
import type { StreamProgress } from "./streamProgress.ts";

/** The state of a streamed request, which the parts of its relay share. */
export interface StreamState {
    readonly environment: RelayEnvironment;
    readonly task: RelayTask;
    readonly chains: RelayChains;
    readonly runs: PossibleRuns;
    readonly attempts: RunningAttempts;
    readonly attemptLimit: AttemptLimit;
    readonly pacing: ResumePacing;
    readonly quarantine: TaskQuarantine;
    readonly replacement: ChainReplacement;
    readonly progress: StreamProgress;
    readonly answer: StreamAnswer;
    readonly flowControl: StreamFlowControl;
    readonly logger: StreamLogger;
    /** Ids of endpoints that have failed or refused the request, which the next chain must not use. */
    readonly avoided: Set<string>;
}
