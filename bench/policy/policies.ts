import { EstimatedTimeChooser } from "../../src/request/chain/estimatedTimeChooser.ts";
import { computeFleetBound } from "./computeFleetBound.ts";
import { GreedyChooser } from "./greedyChooser.ts";
import type { Policy } from "./policy.ts";
import { selectAll } from "./selectAll.ts";
import { selectByFlow } from "./selectByFlow.ts";

/** Policies to compare. The last one is the chooser that the nodes use. */
export const policies: readonly Policy[] = [
    {
        name: "round robin",
        createChooser: ({ getConfiguration }) => GreedyChooser.create(getConfiguration(), load => load.timesChosen),
    },
    {
        name: "least loaded",
        createChooser: ({ getConfiguration }) =>
            GreedyChooser.create(
                getConfiguration(),
                load => Math.max(load.reportedSequences, load.ownSequences) / load.maximumSequences,
            ),
    },
    {
        name: "flow shares, 6 draws",
        createChooser: (options, fleet) => {
            const { flows } = computeFleetBound(fleet);
            return EstimatedTimeChooser.create({ ...options, selectCandidates: selectByFlow(flows, 6) });
        },
    },
    {
        name: "shortest time, all",
        createChooser: options => EstimatedTimeChooser.create({ ...options, selectCandidates: selectAll }),
    },
    { name: "shortest time, 6 random", createChooser: options => EstimatedTimeChooser.create(options) },
];
