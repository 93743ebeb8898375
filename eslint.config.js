import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "src/wire/generated/**"] },
    js.configs.recommended,
    ...tseslint.configs.strict,
    {
        rules: {
            // With noUncheckedIndexedAccess an index that is right by construction needs the assertion.
            "@typescript-eslint/no-non-null-assertion": "off",
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Write a constant object in place of an enum." },
                {
                    selector: "CallExpression[callee.property.name='forEach']",
                    message: "Write a for-of loop in place of forEach.",
                },
            ],
            "no-console": "error",
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                { selector: "method", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/no-dynamic-delete": "off",
        },
    },
    { files: ["scripts/**", "standins/**", "bench/**", "docs/examples/**"], rules: { "no-console": "off" } },
);
