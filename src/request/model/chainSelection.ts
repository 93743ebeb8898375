import type { Result } from "../../result.ts";
import type { Chain } from "../chain/chain.ts";
import type { ChainChooser } from "../chain/chainChooser.ts";
import type { NoChainError } from "../chain/noChainError.ts";

/** Options of a {@link ChainSelection}. */
interface ChainSelectionOptions {
    model: string;
    dataCentre: string;
    chooser: ChainChooser;
}

/** Maximum number of slow stages that one answer replaces. */
const maximumSlowStageReplacements = 2;

/** Selects the chains of one answer. Excludes failed endpoints and prefers the other endpoints of a broken chain. */
export class ChainSelection {
    private readonly options: ChainSelectionOptions;
    private readonly excluded = new Set<string>();
    private readonly survivingEndpoints = new Set<string>();
    private slowStageReplacements = 0;

    private constructor(options: ChainSelectionOptions) {
        this.options = options;
    }

    /** Creates a selection without failed endpoints. */
    static create(options: ChainSelectionOptions): ChainSelection {
        return new ChainSelection(options);
    }

    /**
     * Chooses a chain.
     * @param positions - Positions of the first pass.
     */
    chooseChain(positions: number): Result<Chain, NoChainError> {
        return this.choose(positions, this.excluded);
    }

    /** Checks if any endpoint is excluded. */
    hasExclusions(): boolean {
        return this.excluded.size > 0;
    }

    /** Allows failed endpoints to be chosen again. */
    clearExclusions(): void {
        this.excluded.clear();
    }

    /** Excludes the endpoint at which a chain broke and prefers the chain's other endpoints. */
    observeBrokenChain(chain: Chain, endpoint: string): void {
        this.excluded.add(endpoint);
        this.survivingEndpoints.clear();
        for (const stage of chain.stages) {
            if (stage.endpoint !== endpoint) {
                this.survivingEndpoints.add(stage.endpoint);
            }
        }
    }

    /**
     * Checks if the answer should replace a slow stage, and counts the replacement. Returns false if no other chain
     * exists or the maximum number of replacements is reached.
     * @param endpoint - Endpoint of the stage.
     */
    tryReplaceSlowStage(endpoint: string): boolean {
        if (
            this.slowStageReplacements >= maximumSlowStageReplacements
            || !this.choose(1, new Set(this.excluded).add(endpoint)).ok
        ) {
            return false;
        }
        this.slowStageReplacements += 1;
        return true;
    }

    private choose(positions: number, excluded: ReadonlySet<string>): Result<Chain, NoChainError> {
        const { chooser, model, dataCentre } = this.options;
        return chooser.chooseChain({ model, dataCentre, positions, excluded, preferred: this.survivingEndpoints });
    }
}
