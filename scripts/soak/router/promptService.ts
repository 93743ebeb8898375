/** The service whose requests declare the parts of their prompts. */
export const promptService = "prompts";
