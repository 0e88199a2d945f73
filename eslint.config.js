import js from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const noNull = {
    selector: "Literal[raw='null']",
    message: "Use undefined, not null.",
};

const noClock = {
    selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
    message: "Take the present time as an argument; only clock.ts reads it.",
};

export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "**/node_modules/**",
            "eslint.config.js",
            "out/**",
            "target/**",
            "journal/**",
            "scripts/**",
        ],
    },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        plugins: { jsdoc },
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-var": "error",
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "no-restricted-syntax": ["error", noNull, noClock],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        plugins: { jsdoc },
        rules: {
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
                    require: {
                        FunctionDeclaration: true,
                        ClassDeclaration: true,
                        ArrowFunctionExpression: true,
                    },
                },
            ],
        },
    },
    {
        files: ["packages/*/test/**/*.ts", "platform/test/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off" },
    },
);
