import eslint from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "target/**", "**/node_modules/**"] },
    eslint.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts", "tools/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "UPPER_CASE"], leadingUnderscore: "forbid" },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/consistent-type-definitions": ["error", "type"],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/only-throw-error": ["error", { allowThrowingAny: true, allowThrowingUnknown: true }],
            "@typescript-eslint/prefer-promise-reject-errors": ["error", {
                allowThrowingAny: true,
                allowThrowingUnknown: true,
            }],
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-console": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
            ],
            "one-var": ["error", "never"],
            "prefer-const": "error",
        },
    },
    {
        files: ["docs/examples/*.mjs"],
        languageOptions: {
            globals: {
                AbortController: "readonly",
                AbortSignal: "readonly",
                clearInterval: "readonly",
                console: "readonly",
                fetch: "readonly",
                process: "readonly",
                setInterval: "readonly",
                setTimeout: "readonly",
                URL: "readonly",
            },
        },
        rules: { "no-console": "off" },
    },
    {
        files: ["tools/**/*.mjs", "*.mjs"],
        languageOptions: {
            globals: { process: "readonly", console: "readonly", setTimeout: "readonly", clearTimeout: "readonly" },
        },
    },
);
