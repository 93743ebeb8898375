/** The role of a request in a series of requests with the same customer and common parts of their prompts. */
export interface PromptSeriesRole {
    /** Name of the series. */
    series: string;
    /** Whether its prompt has the part that crashes each endpoint which begins to answer. */
    isHarmful: boolean;
    /** Value of the header with the parts of the prompt. */
    prefix: string;
}
