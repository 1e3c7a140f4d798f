/**
 * Parses JSON from outside within limits that every later step of the program can process.
 */

/** Deepest nesting of arrays and objects; encoders and schemas recurse. */
export const MAXIMUM_JSON_NESTING = 32;

/** Thrown when a text is not JSON, or has values that cannot be processed. */
export class JsonError extends Error {
    override readonly name = "JsonError";
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
    let level: readonly unknown[] = [parsed];
    for (let depth = 0; level.length > 0; depth += 1) {
        if (level.some(value => typeof value === "number" && !Number.isFinite(value))) {
            throw new JsonError("A number is too large.");
        }
        const collections = level.filter(value => value instanceof Object);
        if (collections.length > 0 && depth >= MAXIMUM_JSON_NESTING) {
            throw new JsonError(`Collections are nested more than ${MAXIMUM_JSON_NESTING} deep.`);
        }
        level = collections.flatMap(collection => Object.values(collection) as unknown[]);
    }
    return parsed;
}
