import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createPrometheusMetrics, type PrometheusMetrics } from "./prometheus-metrics.js";

let metrics: PrometheusMetrics;

When("a request to the service stoc that took 120 ms is recorded", () => {
    metrics = createPrometheusMetrics();
    metrics.increment("gateway.requests", 1, { service: "stoc", outcome: "answered" });
    metrics.gauge("gateway.open_requests", 3);
    metrics.observe("gateway.request", 120, { service: "stoc" });
});
Then("the text has the counter, the gauge and the histogram with their labels", async () => {
    const text = await metrics.text();
    assert.match(text, /^hyssopfront_gateway_requests_total\{service="stoc",outcome="answered"\} 1$/m);
    assert.match(text, /^hyssopfront_gateway_open_requests 3$/m);
    assert.match(text, /^hyssopfront_gateway_request_seconds_bucket\{le="0.1",service="stoc"\} 0$/m);
    assert.match(text, /^hyssopfront_gateway_request_seconds_bucket\{le="0.15",service="stoc"\} 1$/m);
});
