import { EndpointService } from "../../src/process/endpointService.ts";
import { MembershipView } from "../../src/process/membership/membershipView.ts";
import { RendezvousOwners } from "../../src/process/membership/rendezvousOwners.ts";
import { Metrics } from "../../src/process/metrics/metrics.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { EstimatedTimeChooser } from "../../src/request/chain/estimatedTimeChooser.ts";
import { Err } from "../../src/result.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";
import { createMembers } from "./createMembers.ts";
import { createSizedConfiguration } from "./createSizedConfiguration.ts";
import { designSize } from "./designSize.ts";

/**
 * Creates the endpoint service of a node that isn't a member, so that it observes no engine itself.
 * @param engines - Number of engines in the configuration.
 * @param members - Number of members from which the observers are selected.
 * @returns The service, and a function that runs its next round immediately.
 */
export async function createBenchEndpointService(engines: number, members: number) {
    const size = { customers: 0, runners: engines, models: designSize.models };
    const configuration = parseConfiguration(JSON.stringify(createSizedConfiguration(size))).unwrap();
    let runRound: () => void = () => undefined;
    const clock = {
        ...systemClock,
        setTimer: (_: number, callback: () => void) => {
            runRound = callback;
            return { cancel: () => undefined };
        },
    };
    const view = MembershipView.create({
        nodeId: "entry-0",
        peerAddress: "10.0.0.1:7400",
        dataCentre: "a",
        incarnation: 1,
    });
    view.applyRecords(createMembers(members), 0);
    const chooser = EstimatedTimeChooser.create({
        getConfiguration: () => configuration,
        getEndpointState: endpoint => service.directory.getState(endpoint),
        clock,
        random: Math.random,
    });
    const service: EndpointService = EndpointService.create({
        nodeId: "outsider",
        clock,
        random: Math.random,
        log: { write: () => undefined },
        metrics: Metrics.create(),
        connector: { open: (_address, onDone) => onDone(Err("The bench opens no connections.")) },
        view,
        owners: await RendezvousOwners.create(),
        getChooser: () => chooser,
    });
    service.update(configuration);
    service.start();
    return { service, runRound: () => runRound() };
}
