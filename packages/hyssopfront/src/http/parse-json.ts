/**
 * Parses JSON from outside within limits that every later step of the program can process.
 */

/** Deepest nesting of arrays and objects; encoders and schemas recurse. */
export const MAXIMUM_JSON_NESTING = 32;

/** Thrown when a text is not JSON, or has values that cannot be processed. */
export class JsonError extends Error {
    override readonly name = "JsonError";
}

function checkValue(value: unknown, depth: number): void {
    if (typeof value === "number" && !Number.isFinite(value)) {
        throw new JsonError("A number is too large.");
    }
    if (!(value instanceof Object)) {
        return;
    }
    if (depth >= MAXIMUM_JSON_NESTING) {
        throw new JsonError(`Collections are nested more than ${MAXIMUM_JSON_NESTING} deep.`);
    }
    if (Array.isArray(value)) {
        value.forEach(inner => checkValue(inner, depth + 1));
        return;
    }
    // Object.values would copy each object, which takes most of the time for a configuration of thousands of routes.
    for (const key in value) {
        checkValue((value as Readonly<Record<string, unknown>>)[key], depth + 1);
    }
}

/**
 * Parses a text.
 *
 * @throws JsonError if the text is not JSON, is nested too deeply, or has a number beyond the range of doubles.
 */
export function parseJson(text: string): unknown {
    let parsed: unknown;
    try {
        parsed = JSON.parse(text);
    }
    catch (error) {
        throw new JsonError("The text is not JSON.", { cause: error });
    }
    checkValue(parsed, 0);
    return parsed;
}
