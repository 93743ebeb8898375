import type { ChainChooser } from "../../src/request/chain/chainChooser.ts";
import type { EstimatedTimeChooserOptions } from "../../src/request/chain/estimatedTimeChooser.ts";
import type { Fleet } from "./fleet.ts";

/** A policy for choosing chains. */
export interface Policy {
    name: string;
    createChooser: (options: EstimatedTimeChooserOptions, fleet: Fleet) => ChainChooser;
}
