package linengauge.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import linengauge.Headend;
import linengauge.PackageTerms;
import linengauge.Span;
import linengauge.wire.WireHost.Wrong;

/** Reads the settings once; what nobody asks for is dropped. */
final class WireTerms {
    private WireTerms() {
    }

    static Headend read(Map<?, ?> conf) throws Wrong {
        Map<?, ?> domain = map(conf, "domain");
        Map<?, ?> limits = map(conf, "policyLimits");
        Map<?, ?> rules = map(conf, "guarantees");
        Map<?, ?> charges = map(conf, "charges");
        Map<?, ?> loads = map(conf, "loadReport");
        double[] ladder = numbers(domain, "ladderKb");
        double[] rates = numbers(domain, "rateFactor");
        double[] floors = numbers(domain, "floorByClass");
        double[] tops = numbers(domain, "highestRung");
        double[] seats = numbers(domain, "licenceCap");
        List<PackageTerms> packages = new ArrayList<>();
        if (!(conf.get("requestClasses") instanceof List<?> classes)) {
            throw new Wrong("conf: 'requestClasses' should be a list");
        }
        for (Object one : classes) {
            if (!(one instanceof Map<?, ?> c)) {
                throw new Wrong("conf: a request class should be an object");
            }
            int i = packages.size();
            packages.add(new PackageTerms(number(c, "worth", 1), span(c, "aimUs"), at(rates, i, 1),
                    (int) at(floors, i, 0), (int) Math.min(at(tops, i, ladder.length - 1), ladder.length - 1),
                    (int) at(seats, i, 0), !"safe".equals(c.get("idempotency"))));
        }
        boolean sized = !"silent".equals(conf.get("weights"));
        var fleet = new Headend.Fleet((int) number(domain, "places", 1), (int) Math.max(1, number(domain, "shelves", 1)),
                whole(numbers(domain, "placesByKind")), number(domain, "linksKb", 0),
                sized ? number(domain, "weightKb", 0) : 0, number(domain, "uplinkKb", 0), span(domain, "seeUs"));
        var figures = new Headend.Rules(span(rules, "coldUs"),
                number(rules, "startCapacity", 1), number(rules, "fallMultiple", 1), span(rules, "tipAfterUs"),
                number(rules, "freeResends", 0), number(rules, "furtherRatio", 0), span(rules, "ratioSpanUs"));
        boolean uplink = loads.get("fields") instanceof List<?> fields && fields.contains("x1");
        boolean advice = !Boolean.FALSE.equals(limits.get("retryAfter"));
        var permits = new Headend.Permits((int) number(limits, "maxAttempts", 1),
                Boolean.TRUE.equals(limits.get("peers")),
                Boolean.TRUE.equals(limits.get("probing")), uplink, number(charges, "probe", 0),
                number(charges, "crossZone", 0), advice ? span(limits, "maxRetryAfterUs") : Span.NONE);
        return new Headend((int) Math.max(1, number(conf, "balancers", 1)), (int) number(conf, "me", 0),
                (int) number(conf, "zone", 0), List.copyOf(packages), ladder, numbers(domain, "worthByRung"), fleet, figures, permits);
    }

    private static Map<?, ?> map(Map<?, ?> from, String key) {
        return from.get(key) instanceof Map<?, ?> m ? m : Map.of();
    }

    private static double number(Map<?, ?> from, String key, double absent) throws Wrong {
        Object v = from.get(key);
        if (v == null) {
            return absent;
        }
        if (v instanceof Double d) {
            return d;
        }
        throw new Wrong("conf: '" + key + "' should be a number");
    }

    private static Span span(Map<?, ?> from, String key) throws Wrong {
        return new Span(Math.round(number(from, key, 0)));
    }

    private static double at(double[] values, int i, double absent) {
        return i < values.length ? values[i] : absent;
    }

    private static double[] numbers(Map<?, ?> from, String key) throws Wrong {
        if (!(from.get(key) instanceof List<?> list)) {
            return new double[0];
        }
        double[] values = new double[list.size()];
        for (int i = 0; i < values.length; i++) {
            if (!(list.get(i) instanceof Double d)) {
                throw new Wrong("conf: '" + key + "' should hold numbers");
            }
            values[i] = d;
        }
        return values;
    }

    private static int[] whole(double[] values) {
        int[] whole = new int[values.length];
        for (int i = 0; i < whole.length; i++) {
            whole[i] = (int) values[i];
        }
        return whole;
    }
}
