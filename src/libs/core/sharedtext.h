#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace ragwortreach {

/// Text that does not change and that all copies share, so that a large body is in memory once.
class shared_text {
public:
    shared_text() = default;
    shared_text(std::string text)
        : m_content(text.empty() ? nullptr : new content(std::move(text)))
    {
    }
    shared_text(const char* text)
        : shared_text(std::string(text))
    {
    }

    std::string_view view() const { return m_content ? std::string_view(m_content->text) : std::string_view(); }
    operator std::string_view() const { return view(); }
    std::size_t size() const { return view().size(); }
    bool empty() const { return !m_content; }
    /// Gives up the text: moves it out unless other copies refer to it.
    std::string take()
    {
        std::string text = !m_content ? std::string() : isShared() ? m_content->text
                                                                   : std::move(m_content->text);
        m_content = nullptr;
        return text;
    }
    /// Whether another copy refers to the same text.
    bool isShared() const { return m_content && m_content->use_count() > 1; }

    friend bool operator==(const shared_text& left, std::string_view right) { return left.view() == right; }

private:
    struct content : boost::intrusive_ref_counter<content, boost::thread_unsafe_counter> {
        explicit content(std::string initial)
            : text(std::move(initial))
        {
        }

        std::string text;
    };

    boost::intrusive_ptr<content> m_content;
};

}
