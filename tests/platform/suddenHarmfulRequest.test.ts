// Guards against a request that crashes endpoints as soon as it arrives, and was never held back: a crash that follows at once was taken for
// one from before the request arrived.
import { describeHarmfulRequest } from "./describeHarmfulRequest.ts";

const body = "harmful";

for (const [path, service] of [["/model/x", "model"], ["/safe/x", "documents"]] as const) {
    describeHarmfulRequest({
        name: `A request of ${path} that crashes endpoints as soon as it arrives`,
        path,
        service,
        body,
        behaviour: { stopsOnBody: body, stopsSuddenly: true },
        intervalMilliseconds: 700,
        maximumStopped: 6,
    });
}
