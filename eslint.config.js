import eslint from "@eslint/js";
import typescript from "typescript-eslint";

export default typescript.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "src/generated/**", "eslint.config.js"] },
    eslint.configs.recommended,
    ...typescript.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
                { selector: "TSNullKeyword", message: "Use undefined instead of null." },
            ],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], leadingUnderscore: "forbid" },
                {
                    selector: "interface",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z][a-z]", match: false },
                },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/prefer-readonly": "error",
            "@typescript-eslint/switch-exhaustiveness-check": [
                "error",
                { considerDefaultExhaustiveForUnions: true },
            ],
        },
    },
);
