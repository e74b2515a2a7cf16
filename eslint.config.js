import tseslint from "typescript-eslint";

// Folders of filters. They decide; sources and sinks at the ends own sockets, disk, clock and codecs.
const pureFolders = [
    "model",
    "pipeline",
    "request",
    "holder",
    "rates",
    "health",
    "control",
    "report",
    "session",
    "fleet",
    "scheduling",
];
const ioFolders = ["frontend", "backend", "rpc", "storage", "telemetry", "platform", "cli", "wiring"];
const ioLibraries = ["mysql2", "mysql2/*", "@grpc/*", "@bufbuild/*", "hot-shots", "loglevel", "node:*", "fs", "net"];

// Each folder may import only from itself and from the folders named here.
const allowedImports = {
    pipeline: [],
    model: ["pipeline"],
    scheduling: ["model", "pipeline"],
    request: ["model", "pipeline", "scheduling"],
    holder: ["model", "pipeline", "scheduling"],
    rates: ["model", "pipeline"],
    health: ["model", "pipeline"],
    control: ["model", "pipeline"],
    report: ["model", "pipeline"],
    session: ["model", "pipeline", "scheduling"],
    fleet: ["model", "pipeline", "rates"],
    platform: ["model", "pipeline"],
    settings: ["model"],
    telemetry: ["model", "pipeline"],
    frontend: ["model", "pipeline", "telemetry", "request"],
    backend: ["model", "pipeline", "telemetry"],
    storage: ["model", "pipeline", "telemetry"],
    rpc: ["model", "pipeline", "telemetry"],
    wiring: [
        "model",
        "pipeline",
        "request",
        "holder",
        "rates",
        "health",
        "control",
        "report",
        "settings",
        "telemetry",
        "frontend",
        "backend",
        "storage",
        "rpc",
        "session",
        "fleet",
        "scheduling",
        "platform",
    ],
};

const importRules = Object.entries(allowedImports).map(([folder, allowed]) => ({
    files: [`src/${folder}/**/*.ts`],
    ignores: ["src/**/__tests__/**"],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [
                {
                    group: [...pureFolders, ...ioFolders, "settings"]
                        .filter(other => other !== folder && !allowed.includes(other))
                        .map(other => `**/${other}/*`),
                    message: "Imports run one way; see docs/design.md, section 2.1.",
                },
                {
                    group: pureFolders.includes(folder) ? ioLibraries : ["index"],
                    message: "Filters import no socket, disk, clock, random source or codec.",
                },
            ],
        }],
        ...(pureFolders.includes(folder)
            ? {
                "no-restricted-globals": [
                    "error",
                    "Date",
                    "process",
                    "performance",
                    "setTimeout",
                    "setInterval",
                    "setImmediate",
                    "fetch",
                    "crypto",
                    "Buffer",
                    "console",
                ],
                "no-restricted-properties": ["error", {
                    object: "Math",
                    property: "random",
                    message: "Use the SeededRandom passed in.",
                }],
            }
            : {}),
    },
}));

// Stand-ins judge the product by what is on the wire, and read it with code of their own.
const standinRules = [
    {
        files: ["standins/platform/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{
                    regex: "/src/(?!model/database\\.ts$|pipeline/seededRandom\\.ts$)",
                    message: "Stand-ins of the users' platform share no code with what they check.",
                }],
            }],
        },
    },
    {
        files: ["scripts/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{
                    regex: "/src/(platform/wire|session/)",
                    message: "Scripts read the wire with standins/platform/wireMessages.ts.",
                }],
            }],
        },
    },
];

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "src/rpc/generated/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "no-var": "error",
            "prefer-const": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
                {
                    selector: "Literal[raw='null']",
                    message:
                        "Use undefined in the project's own data; a library that needs null is adapted in one place.",
                },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], leadingUnderscore: "forbid" },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    ...importRules,
    ...standinRules,
);
