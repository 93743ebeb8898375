import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import type { AnswerInstructions } from "./answerInstructions.ts";

/** Options of {@link EndpointInstructions}. */
interface EndpointInstructionsOptions {
    log: EventLog;
}

/** Answer of an endpoint to this node. */
interface InstructingAnswer {
    endpointId: string;
    instructions: AnswerInstructions;
    /** What was answered: the id of a request, or the name of a call of the node itself. */
    answerTo: string;
}

/** The instructions that endpoints have given to this node in their answers. */
export class EndpointInstructions {
    private readonly options: EndpointInstructionsOptions;

    private constructor(options: EndpointInstructionsOptions) {
        this.options = options;
    }

    /** Creates an instance without instructions. */
    static create(options: EndpointInstructionsOptions): EndpointInstructions {
        return new EndpointInstructions(options);
    }

    /** Records the instructions of an answer. */
    noteAnswer({ endpointId, instructions, answerTo }: InstructingAnswer): void {
        const { isLeaving, pauseMilliseconds } = instructions;
        if (pauseMilliseconds !== undefined) {
            this.options.log.write(events.endpointPauseRequested, {
                endpoint: endpointId,
                answerTo,
                milliseconds: Math.round(pauseMilliseconds),
            });
        }
        if (isLeaving) {
            this.options.log.write(events.endpointLeavingAnnounced, { endpoint: endpointId, answerTo });
        }
    }
}
