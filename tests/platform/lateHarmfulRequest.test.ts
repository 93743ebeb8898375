// Guards against a request that crashes endpoints some time after they have begun to answer it, and was never held back: the first events
// counted for good as a proof that it is harmless.
import { describeHarmfulRequest } from "./describeHarmfulRequest.ts";

const body = "harmful";
/** Longer than the time after which a request that has begun to run counts as harmless for the start of endpoints. */
const crashMilliseconds = 600;

for (const path of ["/model/x", "/once/x"]) {
    describeHarmfulRequest({
        name: `A request of ${path} that crashes endpoints some time after they have begun to answer it`,
        path,
        service: "model",
        body,
        behaviour: { stopsAfterAnswering: { body, milliseconds: crashMilliseconds } },
        answers: { events: 60, eventMilliseconds: 30 },
    });
}
