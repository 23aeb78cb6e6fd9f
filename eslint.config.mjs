import tseslint from "typescript-eslint";

export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "**/node_modules/**",
            "packages/*/bin/**",
            "**/*.mjs",
            "**/*.cjs",
        ],
    },
    ...tseslint.configs.recommended,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "allow" },
            ],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "curly": "error",
            "eqeqeq": ["error", "always"],
            "max-depth": ["error", 4],
            "no-console": "error",
            "no-restricted-syntax": [
                "error",
                { selector: ":not(BinaryExpression) > Literal[raw='null']", message: "Use undefined." },
            ],
        },
    },
    { files: ["**/test/**"], rules: { "@typescript-eslint/no-unused-expressions": "off" } },
);
