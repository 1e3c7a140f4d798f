/**
 * Names of the headers that callers, the gateway and backend servers exchange. The deployment configures them.
 */
export type HeaderNames = {
    /** Id of one request of a caller, which is forwarded and returned unchanged. */
    readonly requestId: string;
    /** Milliseconds for which the sender waits for the response. */
    readonly deadline: string;
    /** Cookie with the affinity key, which identifies the object of a request. */
    readonly affinityCookie: string;
    /** To a backend server: name of the client account of the request. */
    readonly clientAccount: string;
    /** In a response: proves that it comes from a backend server. */
    readonly responseSignature: string;
    /** Id of the only backend server that may run the request. */
    readonly expectedBackendServer: string;
    /** In a response: the request was not run. */
    readonly notExecuted: string;
    /** In a response: running requests, queued requests and slots, separated by commas. */
    readonly load: string;
    /**
     * Seconds after which a rejected caller should retry. In a 503 response of a backend server: seconds for which it
     * wants no requests from this entry.
     */
    readonly retryAfter: string;
    /** In a response: the backend server is leaving and wants no further requests. */
    readonly leaving: string;
};
