/** How the answer to a caller ended, for the log. */
export interface AnswerEnd {
    outcome: string;
    cause: string;
}
