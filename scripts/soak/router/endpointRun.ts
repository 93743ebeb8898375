import type { RouterDeployment } from "./routerDeployment.ts";

/** An execution of a request by an endpoint. */
export type EndpointRun = ReturnType<RouterDeployment["endpoints"][number]["history"]["getRuns"]>[number];
